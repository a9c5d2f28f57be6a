package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// chunk returns a chunk of a body of unknown length.
func chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

const uploadHead = "POST /payments HTTP/1.1\r\nHost: " + fixtureHost + "\r\n"

// Guards against a server that answers an upload early, reads on, and gets a body with pieces missing: net/http reads the rest of a body as
// well when a response is written.
func TestServerThatAnswersEarlyGetsTheBodyAsItWasSent(t *testing.T) {
	for _, length := range []int{5, 3 << 10, 1 << 20, 3 << 20} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			received := make(chan []byte, 1)
			fixture := newFixture(t, fixtureService(), startRawBackend(t, func(connection net.Conn) {
				defer connection.Close()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				body := &bytes.Buffer{}
				_, _ = io.CopyN(body, request.Body, 1000)
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(strings.Repeat("a", length)))
				_, _ = io.Copy(body, request.Body)
				received <- body.Bytes()
				_, _ = io.WriteString(connection, "0\r\n\r\n")
			}))
			caller := fixture.dialPipelined(t)
			caller.send(uploadHead + "Transfer-Encoding: chunked\r\n\r\n")
			var sent strings.Builder
			caller.send(chunk(strings.Repeat("x", 1000)))
			sent.WriteString(strings.Repeat("x", 1000))
			response, err := http.ReadResponse(caller.reader, nil)
			require.NoError(t, err)
			defer response.Body.Close()
			answer := make([]byte, length)
			_, err = io.ReadFull(response.Body, answer)
			require.NoError(t, err)
			for number := range 200 {
				piece := strings.Repeat(fmt.Sprintf("%04d", number), 250)
				caller.send(chunk(piece))
				sent.WriteString(piece)
			}
			caller.send("0\r\n\r\n")
			rest, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Empty(t, rest)
			require.Equal(t, sent.String(), string(<-received))
		})
	}
}

// Guards against an early answer to an upload that is held back until its caller has sent the rest, and then not sent at all.
func TestEarlyAnswerToAnUploadIsSentAtOnce(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ntaken", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ntaken\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\ntaken",
	} {
		for _, framing := range []string{"Transfer-Encoding: chunked\r\n\r\n" + chunk("first"), "Content-Length: 100000\r\n\r\nfirst"} {
			fixture := newFixture(t, fixtureService(), startRawBackend(t, func(connection net.Conn) {
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					connection.Close()
					return
				}
				_, _ = io.ReadFull(request.Body, make([]byte, 5))
				_, _ = io.WriteString(connection, answer)
				_ = connection.(*net.TCPConn).CloseWrite() //nolint:forcetypeassert // TCP was accepted.
				_, _ = io.Copy(io.Discard, connection)
				connection.Close()
			}))
			caller := fixture.dialPipelined(t)
			require.NoError(t, caller.connection.SetReadDeadline(time.Now().Add(fixtureMaxStall.Duration()/3)))
			caller.send(uploadHead + framing)
			got, err := caller.receive()
			require.NoError(t, err, "%q, %q", answer, framing)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "taken", got.body)
		}
	}
}
