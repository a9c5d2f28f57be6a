package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// sentPaths are paths as callers may send them, with the longest of the prefixes "/claim/" and "/claim/look/" that begins them, empty if none
// does, or the path is malformed.
var sentPaths = []struct {
	path  string
	class settings.ClassName
}{
	{"/claim/7", "claim"},
	{"/claim/look/7", "look"},
	{"/claim/look/", "look"},
	{"/claim/look", "claim"},
	{"/claim/look%2F7", "claim"},
	{"/claim/look%2f7", "claim"},
	{"/claim%2Flook/7", ""},
	{"/claim/look/a%2Fb", "look"},
	{"/claim/l%6Fok/7", "claim"},
	{"/claim//look/7", "claim"},
	{"/claim/look//7", "look"},
	{"/claim/look;v=1/7", "claim"},
	{"/claim/look/;v=1", "look"},
	{"/claim/LOOK/7", "claim"},
	{"/claim/look/%C3%A9", "look"},
	{"/claim/look/\xc3\xa9", "look"},
	{"/claim/look/a|b^c`d\"e", "look"},
	{"/claim/l|ok/7", "claim"},
	{"/claim/look/100%25", "look"},
	{"/claim/look/a#b", "look"},
	{"/claim/%", ""},
}

// Guards against a payment that is taken for a lookup, and repeated, because the route is chosen by another path than the one that the server
// gets; and against a path that a server gets in another form than it was sent.
func TestRouteIsChosenByThePathAsItIsSent(t *testing.T) {
	received := make(chan string, 1)
	backend := startRawBackend(t, func(connection net.Conn) {
		defer connection.Close()
		line, _ := bufio.NewReader(connection).ReadString('\n')
		received <- line
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	})
	fixture := newFixture(t, fixtureService(), backend)
	service := fixture.table.Services()[0]
	classOf := func(name settings.ClassName, idempotent bool) *routing.Class {
		return &routing.Class{
			Name: name, Settings: settings.Class{Idempotent: idempotent, Timeout: 30 * clock.Second, MaxBodySize: 1 << 10},
			Metrics: fixture.registry.Class(metrics.ClassKey{Service: service.Name, Class: name}),
		}
	}
	entries := []*routing.Entry{
		{Host: fixtureHost, Prefix: "/claim/", Class: classOf("claim", false), Services: []routing.WeightedService{{Service: service, Weight: 1}}},
		{Host: fixtureHost, Prefix: "/claim/look/", Class: classOf("look", true), Services: []routing.WeightedService{{Service: service, Weight: 1}}},
	}
	fixture.table = routing.NewTable(routing.Options{
		Site: fixture.table.Site, Registry: fixture.registry, Services: []*routing.Service{service}, Entries: entries,
	})
	for number, testCase := range sentPaths {
		t.Run(testCase.path, func(t *testing.T) {
			id := fmt.Sprint("path-", number)
			connection, err := net.Dial("tcp", fixture.address)
			require.NoError(t, err)
			defer connection.Close()
			_, err = fmt.Fprintf(connection, "GET %s?q=%%2F HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", testCase.path, fixtureHost, outcome.HeaderRequestID, id)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			if testCase.class == "" {
				require.Contains(t, []int{http.StatusBadRequest, http.StatusNotFound}, response.StatusCode)
				return
			}
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "GET "+testCase.path+"?q=%2F HTTP/1.1\r\n", <-received)
			found, known := fixture.traces.Find(trace.RequestID(id))
			require.True(t, known)
			require.Equal(t, testCase.class, found.Class)
		})
	}
}
