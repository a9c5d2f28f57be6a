package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/quarantine"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// startEndingBackend starts a backend server that ends under requests whose path contains "end": it closes the connection, and a moment
// later its listener.
func startEndingBackend(t *testing.T, ended *atomic.Int64) string {
	const listensFor = 20 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	serve := func(connection net.Conn) {
		defer connection.Close()
		reader := bufio.NewReader(connection)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if strings.Contains(request.URL.Path, "end") {
				ended.Add(1)
				time.AfterFunc(listensFor, func() { listener.Close() })
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection)
		}
	}()
	return listener.Addr().String()
}

// Guards against a request under which a server has ended elsewhere, and which is sent to a second server here before it is known that the
// first one has ended as well.
func TestSuspectIsNotRepeatedBeforeItsServerIsChecked(t *testing.T) {
	var ended atomic.Int64
	serviceSettings := fixtureService()
	serviceSettings.Retry.BudgetShare = 1
	fixture := newFixture(t, serviceSettings, startEndingBackend(t, &ended), startEndingBackend(t, &ended), startEndingBackend(t, &ended))
	clock := clock.New()
	suspects := quarantine.New(quarantine.Options{Clock: clock})
	fixture.handler.options.Quarantine = suspects
	for range 20 {
		require.Equal(t, http.StatusOK, fixture.send(t, fixture.newRequest(t, http.MethodGet, "/sound", http.NoBody)).status)
	}
	now := clock.Now()
	digest := quarantine.DigestOf(nil, []byte(http.MethodGet), []byte(fixtureHost), []byte("/end"), nil)
	suspects.RecordEnd(quarantine.Server{Name: "elsewhere"}, quarantine.Lost{Request: digest, SentAt: now.Add(-2), LostAt: now.Add(-1)})
	got := fixture.send(t, fixture.newRequest(t, http.MethodGet, "/end", http.NoBody))
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, int64(1), ended.Load())
	_, blocked := suspects.Blocked(digest)
	require.True(t, blocked)
}
