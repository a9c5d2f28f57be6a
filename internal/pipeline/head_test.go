package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const maxTestHead = 1 << 10

// Guards against a request that is read beside others although it has a body, ends its connection, or can be read in two ways.
func TestSplit(t *testing.T) {
	const host = "Host: a\r\n"
	cases := []struct {
		name    string
		data    string
		length  int
		framing Framing
	}{
		{"nothing", "", 0, Incomplete},
		{"part of the method", "GE", 0, Incomplete},
		{"part of the request line", "GET /a HT", 0, Incomplete},
		{"part of a header", "GET /a HTTP/1.1\r\nHo", 0, Incomplete},
		{"no empty line", "GET /a HTTP/1.1\r\n" + host, 0, Incomplete},
		{"lookup", "GET /a HTTP/1.1\r\n" + host + "\r\n", 28, Concurrent},
		{"lookup and more", "GET /a HTTP/1.1\r\n" + host + "\r\nGET /b", 28, Concurrent},
		{"head only", "HEAD /a HTTP/1.1\r\n" + host + "\r\n", 29, Concurrent},
		{"kept connection", "GET /a HTTP/1.1\r\n" + host + "Connection: keep-alive\r\n\r\n", 52, Concurrent},
		{"empty body", "GET /a HTTP/1.1\r\n" + host + "Content-Length: 0\r\n\r\n", 47, Concurrent},
		{"body", "GET /a HTTP/1.1\r\n" + host + "Content-Length: 1\r\n\r\n", 0, Sequential},
		{"length that is not a number", "GET /a HTTP/1.1\r\n" + host + "Content-Length: 0, 0\r\n\r\n", 0, Sequential},
		{"chunked", "GET /a HTTP/1.1\r\n" + host + "transfer-encoding: chunked\r\n\r\n", 0, Sequential},
		{"expectation", "GET /a HTTP/1.1\r\n" + host + "Expect: 100-continue\r\n\r\n", 0, Sequential},
		{"upgrade", "GET /a HTTP/1.1\r\n" + host + "Upgrade: h2c\r\n\r\n", 0, Sequential},
		{"last of its connection", "GET /a HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n", 0, Sequential},
		{"no host", "GET /a HTTP/1.1\r\n\r\n", 0, Sequential},
		{"two hosts", "GET /a HTTP/1.1\r\n" + host + host + "\r\n", 0, Sequential},
		{"payment", "POST /a HTTP/1.1\r\n", 0, Sequential},
		{"start of a payment", "PO", 0, Sequential},
		{"old protocol", "GET /a HTTP/1.0\r\n" + host + "\r\n", 0, Sequential},
		{"other form of the target", "GET http://a/ HTTP/1.1\r\n" + host + "\r\n", 0, Sequential},
		{"control character in the target", "GET /a\x01 HTTP/1.1\r\n" + host + "\r\n", 0, Sequential},
		{"space before the colon", "GET /a HTTP/1.1\r\n" + host + "X : 1\r\n\r\n", 0, Sequential},
		{"folded header", "GET /a HTTP/1.1\r\n" + host + "X: 1\r\n 2\r\n\r\n", 0, Sequential},
		{"line feed alone", "GET /a HTTP/1.1\n" + host, 0, Sequential},
		{"empty line first", "\r\nGET /a HTTP/1.1\r\n" + host + "\r\n", 0, Sequential},
		{"long head", "GET /a HTTP/1.1\r\n" + host + "X: " + strings.Repeat("x", maxTestHead), 0, Sequential},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			length, framing := Split([]byte(testCase.data), maxTestHead)
			require.Equal(t, testCase.framing, framing)
			require.Equal(t, testCase.length, length)
		})
	}
}

// FuzzSplit guards against requests that are split in another place than net/http would split them, and against results that change with
// the size of the pieces in which a request arrives.
func FuzzSplit(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("HEAD /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: a\r\nX: \r\n y\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		length, framing := Split(data, maxTestHead)
		for end := range data {
			partLength, partFraming := Split(data[:end], maxTestHead)
			if partFraming != Incomplete {
				require.Equal(t, framing, partFraming)
				require.Equal(t, length, partLength)
				break
			}
		}
		if framing != Concurrent {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(data))
		request, err := http.ReadRequest(reader)
		if err != nil {
			// net/http answers such a request itself and closes the connection.
			return
		}
		require.Contains(t, concurrentMethods, request.Method)
		require.Zero(t, request.ContentLength)
		require.Empty(t, request.TransferEncoding)
		require.False(t, request.Close)
		rest, err := io.ReadAll(reader)
		require.NoError(t, err)
		require.Len(t, rest, len(data)-length)
	})
}
