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
