package backendserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against answers whose heads are malformed, so that a caller gets a status that is none, a body that is not the server's, or an
// answer without the lines that were not understood.
func TestMalformedHeadsAreNoResponses(t *testing.T) {
	const fields, end = "Content-Length: 5\r\nX: 1\r\n", "\r\nhello"
	for _, testCase := range []struct {
		name, response string
		sound          bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\n" + fields + end, true},
		{"no reason", "HTTP/1.1 200\r\n" + fields + end, true},
		{"empty reason", "HTTP/1.1 200 \r\n" + fields + end, true},
		{"line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello", true},
		{"tab and bytes above 127 in a value", "HTTP/1.1 200 OK\r\nX:\ta\xe4\tb\r\n" + fields + end, true},
		{"empty value", "HTTP/1.1 200 OK\r\nX:\r\n" + fields + end, true},
		{"protocol in a value", "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 front\r\n" + fields + end, true},
		{"informational response before", "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + end, true},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + end, true},
		{"folded line", "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n" + fields + end, true},
		{"highest status", "HTTP/1.1 599 X\r\n" + fields + end, true},
		{"status 000", "HTTP/1.1 000 OK\r\n" + fields + end, false},
		{"status 099", "HTTP/1.1 099 OK\r\n" + fields + end, false},
		{"status 600", "HTTP/1.1 600 OK\r\n" + fields + end, false},
		{"status 999", "HTTP/1.1 999 OK\r\n" + fields + end, false},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n" + fields + end, false},
		{"status of two digits", "HTTP/1.1 20 OK\r\n" + fields + end, false},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n" + fields + end, false},
		{"two spaces before the status", "HTTP/1.1  200 OK\r\n" + fields + end, false},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + fields + end, false},
		{"another protocol", "HTTP/2.0 200 OK\r\n" + fields + end, false},
		{"protocol in lower case", "http/1.1 200 OK\r\n" + fields + end, false},
		{"empty line before the head", "\r\nHTTP/1.1 200 OK\r\n" + fields + end, false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + fields + end, false},
		{"blank behind a name", "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n" + fields + end, false},
		{"tab behind a name", "HTTP/1.1 200 OK\r\nX-Odd\t: 1\r\n" + fields + end, false},
		{"blank before the first name", "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n" + fields + end, false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX-O\x01dd: 1\r\n" + fields + end, false},
		{"byte above 127 in a name", "HTTP/1.1 200 OK\r\nX-\xe4: 1\r\n" + fields + end, false},
		{"empty name", "HTTP/1.1 200 OK\r\n: 1\r\n" + fields + end, false},
		{"no colon", "HTTP/1.1 200 OK\r\nX-Odd\r\n" + fields + end, false},
		{"control byte in a value", "HTTP/1.1 200 OK\r\nX-Odd: a\x00b\r\n" + fields + end, false},
		{"carriage return in a value", "HTTP/1.1 200 OK\r\nX-Odd: a\rb\r\n" + fields + end, false},
		{"blank behind Content-Length", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello, world", false},
		{"blank behind Transfer-Encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false},
		{"both lengths", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false},
		{"malformed informational response", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + end, false},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			// The response arrives at once and byte by byte.
			for _, pieces := range []int{1, len(testCase.response)} {
				address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					for start := range pieces {
						size := len(testCase.response) / pieces
						_, _ = io.WriteString(connection, testCase.response[start*size:(start+1)*size])
					}
				})
				servers := newServers(t, clock.New(), address, 1)
				exchange, err := servers.Send(t.Context(), target, newPost(t, address), false)
				if !testCase.sound {
					require.Error(t, err)
					var sendError *Error
					require.ErrorAs(t, err, &sendError)
					require.True(t, sendError.Written, "the request may have run")
					require.Zero(t, servers.OpenConnections(target))
					continue
				}
				require.NoError(t, err)
				text, err := io.ReadAll(exchange)
				require.NoError(t, err)
				require.Equal(t, "hello", string(text))
				exchange.Close()
			}
		})
	}
}

// Guards against a response that is broken off within its head and taken for one with the next response on the connection.
func TestHeadBrokenOffByAnotherIsNoResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: 1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	const response = "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 5\r\n\r\n"
	for length := 1; length < len(refusal); length++ {
		scanner := &headScanner{}
		err := scanner.scan([]byte(refusal[:length] + response))
		require.Error(t, err, "broken off behind %q", refusal[:length])
	}
	for _, whole := range []string{refusal, response} {
		scanner := &headScanner{}
		require.NoError(t, scanner.scan([]byte(whole)))
		require.True(t, scanner.complete)
	}
}

// FuzzHeadScanner checks that whatever the scanner takes for a head, in whatever pieces it arrives, net/http reads in the same way: the same
// status, and as many fields.
func FuzzHeadScanner(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: 1\r\n 2\r\n\r\nhello"), 3)
	f.Add([]byte("HTTP/1.1 103 Early Hints\nLink: <a>\n\nHTTP/1.1 503 Busy\r\nX :1\r\n\r\n"), 20)
	f.Add([]byte("HTTP/1.0 503 ServHTTP/1.1 200 OK\r\nA:b\r\nA:\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		whole := &headScanner{}
		err := whole.scan(data)
		cut = min(max(cut, 0), len(data))
		pieces := &headScanner{}
		piecesErr := pieces.scan(data[:cut])
		if piecesErr == nil {
			piecesErr = pieces.scan(data[cut:])
		}
		require.Equal(t, err, piecesErr)
		if err != nil || !whole.complete {
			return
		}
		require.Equal(t, whole.complete, pieces.complete)
		reader := bufio.NewReader(bytes.NewReader(data))
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
				continue
			}
			require.Equal(t, whole.status, response.StatusCode)
			fields := len(response.TransferEncoding)
			for name, values := range response.Header {
				require.NotContains(t, name, " ")
				fields += len(values)
			}
			require.LessOrEqual(t, fields, whole.fields)
			return
		}
	})
}

// BenchmarkHeadScanner scans a head of 300 bytes.
func BenchmarkHeadScanner(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\n" + strings.Repeat(fmt.Sprintf("X-Header-Name: %s\r\n", strings.Repeat("v", 20)), 7) + "Content-Length: 5\r\n\r\n")
	b.SetBytes(int64(len(head)))
	for b.Loop() {
		scanner := headScanner{}
		if err := scanner.scan(head); err != nil {
			b.Fatal(err)
		}
	}
}
