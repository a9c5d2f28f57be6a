package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// truncatedResponses are responses that are cut off before their end, as sent on the wire.
var truncatedResponses = []struct{ name, text string }{
	{"within a known length", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it"},
	{"within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nhalf of it"},
	{"between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
	{"before the trailer ends", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n"},
}

// Guards against a truncated response that the caller takes for complete: if a backend server dies while it sends a response,
// the caller's connection must be aborted, for each protocol.
func TestCutAnswerNeverEndsCleanly(t *testing.T) {
	protocols := []struct {
		name string
		send func(t *testing.T, fixture *fixture) error
	}{
		{"HTTP/1.1", readOverHTTP1},
		{"HTTP/2", readOverHTTP2},
		{"HTTP/1.0", readOverHTTP10},
	}
	for _, truncated := range truncatedResponses {
		for _, protocol := range protocols {
			t.Run(truncated.name+" over "+protocol.name, func(t *testing.T) {
				backend := startRawBackend(t, func(connection net.Conn) {
					_, _ = http.ReadRequest(bufio.NewReader(connection))
					_, _ = io.WriteString(connection, truncated.text)
					connection.Close()
				})
				fixture := newFixture(t, fixtureService(), backend)
				require.Error(t, protocol.send(t, fixture))
			})
		}
	}
}

func readOverHTTP1(t *testing.T, fixture *fixture) error {
	response, err := http.DefaultClient.Do(fixture.newRequest(t, http.MethodGet, "/slots", http.NoBody))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

func readOverHTTP2(t *testing.T, fixture *fixture) error {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	response, err := client.Do(fixture.newRequest(t, http.MethodGet, "/slots", http.NoBody))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	require.Equal(t, 2, response.ProtoMajor)
	_, err = io.ReadAll(response.Body)
	return err
}

// readOverHTTP10 reads to the end of the connection, which delimits an HTTP/1.0 response of unknown length.
func readOverHTTP10(t *testing.T, fixture *fixture) error {
	connection, err := net.Dial("tcp", fixture.address)
	require.NoError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, "GET /slots HTTP/1.0\r\nHost: "+fixtureHost+"\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

// Hop-by-hop headers and headers that only jaywheel may set are not forwarded; all others are.
func TestHeadersPassed(t *testing.T) {
	var seen http.Header
	backend := startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		seen = request.Header.Clone()
		writer.Header().Set("Connection", "X-Hop")
		writer.Header().Set("X-Hop", "1")
		writer.Header().Set("Keep-Alive", "timeout=5")
		writer.Header().Set(outcome.HeaderOutcome, "notRun")
		writer.Header().Set("X-Kept", "yes")
		writer.Header().Set("Location", "http://elsewhere.example/")
		writer.WriteHeader(http.StatusFound)
	})
	fixture := newFixture(t, fixtureService(), backend)
	request := fixture.newRequest(t, http.MethodGet, "/slots", http.NoBody)
	request.Header.Set("Connection", "X-Mine")
	request.Header.Set("X-Mine", "1")
	request.Header.Set("Proxy-Authorization", "secret")
	request.Header.Set("Upgrade", "websocket")
	request.Header.Set("X-Kept", "yes")
	request.Header.Set(outcome.HeaderOutcome, "answered")
	response := fixture.send(t, request)
	require.Equal(t, http.StatusFound, response.status, "a redirect is forwarded, not followed")
	require.Equal(t, outcome.Answered, response.outcome)
	require.Equal(t, "yes", response.header.Get("X-Kept"))
	require.Empty(t, response.header.Get("X-Hop"))
	require.Empty(t, response.header.Get("Keep-Alive"))
	require.Equal(t, "yes", seen.Get("X-Kept"))
	for _, name := range []string{"X-Mine", "Proxy-Authorization", "Upgrade", "Connection", outcome.HeaderOutcome} {
		require.Empty(t, seen.Get(name), name)
	}
	require.Equal(t, "127.0.0.1", seen.Get("X-Forwarded-For"))
	require.Contains(t, seen.Get("Via"), "entry-1")
}

// Responses without a body keep the header that describes the body, and end the request at once.
func TestAnswersWithoutBody(t *testing.T) {
	cases := []struct {
		method string
		status int
		length string
	}{
		{http.MethodHead, http.StatusOK, "100"},
		{http.MethodGet, http.StatusNoContent, ""},
		{http.MethodGet, http.StatusNotModified, ""},
	}
	for _, testCase := range cases {
		t.Run(fmt.Sprint(testCase.method, testCase.status), func(t *testing.T) {
			backend := startBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
				if testCase.length != "" {
					writer.Header().Set("Content-Length", testCase.length)
				}
				writer.WriteHeader(testCase.status)
			})
			fixture := newFixture(t, fixtureService(), backend)
			for range 3 {
				response := fixture.send(t, fixture.newRequest(t, testCase.method, "/slots", http.NoBody))
				require.Equal(t, testCase.status, response.status)
				require.Equal(t, testCase.length, response.header.Get("Content-Length"))
				require.Empty(t, response.body)
			}
		})
	}
}

// Trailers after the body and early hints before the response are forwarded to the caller.
func TestTrailersAndHints(t *testing.T) {
	backend := startBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Link", "</style.css>; rel=preload")
		writer.WriteHeader(http.StatusEarlyHints)
		writer.Header().Del("Link")
		writer.Header().Set("Trailer", "Checksum")
		_, _ = io.WriteString(writer, "body")
		writer.Header().Set("Checksum", "42")
	})
	fixture := newFixture(t, fixtureService(), backend)
	connection, err := net.Dial("tcp", fixture.address)
	require.NoError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, "GET /slots HTTP/1.1\r\nHost: "+fixtureHost+"\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(connection)
	hint, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusEarlyHints, hint.StatusCode)
	require.Equal(t, "</style.css>; rel=preload", hint.Header.Get("Link"))
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Empty(t, response.Header.Get("Link"))
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "body", string(text))
	require.Equal(t, "42", response.Trailer.Get("Checksum"))
}

// Guards against bodies without end that fill the memory of an instance: beyond the memory for buffered responses, a response is forwarded
// as it arrives.
func TestBufferedResponsesAreBoundedTogether(t *testing.T) {
	const limit, part = 80 << 10, 64 << 10
	cases := []struct {
		name string
		// length is the length of the response in bytes, -1 if it is not stated.
		length int
		// early means that the caller gets the first part before the response is complete.
		early bool
	}{
		{"length that fits", limit - 1, false},
		{"length beyond the limit", 2 * part, true},
		{"unknown length", -1, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			proceed := make(chan struct{})
			backend := startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
				length := 2 * part
				if testCase.length >= 0 {
					length = testCase.length
					writer.Header().Set("Content-Length", strconv.Itoa(length))
				}
				_, _ = writer.Write(make([]byte, part))
				_ = http.NewResponseController(writer).Flush()
				select {
				case <-proceed:
				case <-request.Context().Done():
				}
				_, _ = writer.Write(make([]byte, length-part))
			})
			fixture := newFixture(t, fixtureService(), backend)
			fixture.handler.options.Dialect.MaxBufferedResponseBytes = 1 << 20
			fixture.handler.bufferedResponses.limit = limit
			if !testCase.early {
				close(proceed)
			}
			response, err := http.DefaultTransport.RoundTrip(fixture.newRequest(t, http.MethodGet, "/slots", http.NoBody))
			require.NoError(t, err)
			defer response.Body.Close()
			_, err = io.ReadFull(response.Body, make([]byte, part))
			require.NoError(t, err)
			require.LessOrEqual(t, fixture.handler.bufferedResponses.used.Load(), int64(limit))
			if testCase.early {
				close(proceed)
			}
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return fixture.handler.bufferedResponses.used.Load() == 0 }, maxWait, pollInterval)
		})
	}
}

// Guards against an informational response of an earlier request on the connection that is forwarded to another caller.
func TestHintOfAnotherRequestIsNotForwarded(t *testing.T) {
	backend := startRawBackend(t, func(connection net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 103 Early Hints\r\nJaywheel-Request-Id: other\r\nLink: </private>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	fixture := newFixture(t, fixtureService(), backend)
	connection, err := net.Dial("tcp", fixture.address)
	require.NoError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, "GET /slots HTTP/1.1\r\nHost: "+fixtureHost+"\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Empty(t, response.Header.Get("Link"))
}

// A streamed response is forwarded as it arrives: the backend server sends the second part only when the caller has read the
// first one.
func TestAnswerStreams(t *testing.T) {
	read := make(chan struct{})
	backend := startBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "first ")
		_ = http.NewResponseController(writer).Flush()
		<-read
		_, _ = io.WriteString(writer, "second")
	})
	fixture := newFixture(t, fixtureService(), backend)
	response, err := http.DefaultClient.Do(fixture.newRequest(t, http.MethodGet, "/slots", http.NoBody))
	require.NoError(t, err)
	defer response.Body.Close()
	first := make([]byte, len("first "))
	_, err = io.ReadFull(response.Body, first)
	require.NoError(t, err)
	close(read)
	rest, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "first second", string(first)+string(rest))
}

// A streamed request body is forwarded as it arrives.
func TestRequestStreams(t *testing.T) {
	arrived := make(chan string, 1)
	backend := startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		first := make([]byte, len("first "))
		_, _ = io.ReadFull(request.Body, first)
		arrived <- string(first)
		rest, _ := io.ReadAll(request.Body)
		_, _ = writer.Write(append(first, rest...))
	})
	fixture := newFixture(t, fixtureService(), backend)
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, "first ")
		<-arrived
		_, _ = io.WriteString(writer, "second")
		writer.Close()
	}()
	response := fixture.send(t, fixture.newRequest(t, http.MethodPost, "/payments", reader))
	require.Equal(t, "first second", response.body)
}

// Guards against responses that reach the wrong caller when many requests run concurrently and end in any order.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	echo := func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, strings.Repeat(request.URL.RawQuery+" ", 100))
	}
	serviceSettings := fixtureService()
	serviceSettings.Queue.Length = 1000
	fixture := newFixture(t, serviceSettings, startBackend(t, echo), startBackend(t, echo), startBackend(t, echo))
	const callers = 200
	results := make(chan error, callers)
	// The instance refuses requests on connections beyond its limit, and closes further ones unread.
	const connections = fixtureMaxConnections / 2
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections}}
	defer client.CloseIdleConnections()
	for number := range callers {
		query := fmt.Sprintf("caller=%d", number)
		request := fixture.newRequest(t, http.MethodGet, "/slots?"+query, http.NoBody)
		go func() {
			response, err := client.Do(request)
			if err != nil {
				results <- err
				return
			}
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			if err == nil && string(text) != strings.Repeat(query+" ", 100) {
				err = fmt.Errorf("caller %d got %q", number, text)
			}
			results <- err
		}()
	}
	for range callers {
		require.NoError(t, <-results, "events: %s", fixture.registry.Events.String())
	}
}

// Guards against informational responses that reach callers of HTTP/1.0, which take them for the final response.
func TestHintsAreNotForwardedToHTTP10(t *testing.T) {
	fixture := newFixture(t, fixtureService(), startRawBackend(t, func(connection net.Conn) {
		defer connection.Close()
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
			_, _ = io.WriteString(connection, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}))
	connection, err := net.Dial("tcp", fixture.address)
	require.NoError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, "GET /slots HTTP/1.0\r\nHost: "+fixtureHost+"\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
}
