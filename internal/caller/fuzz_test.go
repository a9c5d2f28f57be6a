package caller

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzRawRequest sends arbitrary bytes to an instance, which must still serve the next caller.
func FuzzRawRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: book.example\r\n\r\n"))
	f.Add([]byte("POST /payments HTTP/1.1\r\nHost: book.example\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\xff\x04\x00"))
	f.Add([]byte("GET /jaywheel/v1/addresses?service=%00 HTTP/1.0\r\n\r\n"))
	f.Add([]byte("\x00\xff\r\n\r\n"))
	backend := startBackend(f, func(writer http.ResponseWriter, request *http.Request) { _, _ = io.Copy(writer, request.Body) })
	fixture := newFixture(f, fixtureService(), backend)
	f.Fuzz(func(t *testing.T, text []byte) {
		connection, err := net.Dial("tcp", fixture.address)
		require.NoError(t, err)
		_, _ = connection.Write(text)
		if half, canHalfClose := connection.(*net.TCPConn); canHalfClose {
			// The instance may have closed the connection already.
			_ = half.CloseWrite()
		}
		_ = connection.SetReadDeadline(time.Now().Add(maxWait))
		_, _ = io.Copy(io.Discard, connection)
		connection.Close()
		response := fixture.send(t, fixture.newRequest(t, http.MethodGet, "/", http.NoBody))
		require.Equal(t, http.StatusOK, response.status)
	})
}

// FuzzHeadGuard feeds heads to the guard in pieces of any size. The state of the guard must not depend on the size of the pieces.
func FuzzHeadGuard(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd"), uint8(3))
	f.Add([]byte("\r\n\r\nGET / HTTP/1.1\nX: content-length\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		var whole, pieces headGuard
		whole.reset()
		pieces.reset()
		whole.observe(text)
		for rest := text; len(rest) > 0; {
			size := min(int(piece)+1, len(rest))
			pieces.observe(rest[:size])
			rest = rest[size:]
		}
		require.Equal(t, whole.sawContentLength, pieces.sawContentLength)
		require.Equal(t, whole.desynchronized, pieces.desynchronized)
		require.Equal(t, whole.scanning, pieces.scanning)
	})
}
