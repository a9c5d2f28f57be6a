package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// Guards against a part of a response that a caller takes for the whole one: its server answers a long upload at once, without a length, and
// resets the connection while the upload is still being written.
func TestEarlyResponseToAnUploadThatIsResetIsCut(t *testing.T) {
	fixture := newFixture(t, fixtureService(), startRawBackend(t, func(connection net.Conn) {
		defer connection.Close()
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\na part")
		_ = connection.(*net.TCPConn).SetLinger(0) //nolint:forcetypeassert // TCP was accepted.
	}))
	upload := strings.Repeat("x", 1<<20)
	for range 100 {
		got, err := sendWhole(fixture.newRequest(t, http.MethodPost, "/payments", strings.NewReader(upload)))
		if err == nil {
			require.NotEqual(t, http.StatusOK, got.status, "complete: %q", got.body)
			require.Equal(t, outcome.Unknown, got.outcome)
		}
	}
}

// Guards against answers that a caller gets although their heads are malformed, for a lookup and for a payment.
func TestMalformedResponsesAreNotForwarded(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n",
		"HTTP/1.1 600 OK\r\nContent-Length: 5\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX Odd: 1\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Odd : 1\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-O\x01dd: 1\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"HTTP/1.1 503 Service UnavHTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
	} {
		t.Run(head, func(t *testing.T) {
			fixture := newFixture(t, fixtureService(), startRawBackend(t, func(connection net.Conn) {
				defer connection.Close()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(connection, head+"Not-Run: 1\r\n\r\nhello")
			}))
			for _, request := range []*http.Request{
				fixture.newRequest(t, http.MethodGet, "/", nil), fixture.newRequest(t, http.MethodPost, "/payments", strings.NewReader("amount=1")),
			} {
				got := fixture.send(t, request)
				require.Equal(t, http.StatusBadGateway, got.status)
				require.Equal(t, outcome.Unknown, got.outcome)
			}
		})
	}
}
