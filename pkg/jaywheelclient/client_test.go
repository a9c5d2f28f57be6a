package jaywheelclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// fakeInstance is a stand-in of an entry fakeInstance that names addresses and counts what it is sent.
type fakeInstance struct {
	address        string
	addressQueries atomic.Int64
	requests       atomic.Int64
	server         *httptest.Server
}

func startFakeInstance(t *testing.T, keep string, named func() []string) *fakeInstance {
	started := &fakeInstance{}
	started.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != addressesPath {
			started.requests.Add(1)
			_, _ = fmt.Fprintf(writer, "%s %s", request.Method, request.Host)
			return
		}
		started.addressQueries.Add(1)
		var entries []string
		for _, address := range named() {
			entries = append(entries, fmt.Sprintf(`{"address": %q}`, address))
		}
		_, _ = fmt.Fprintf(writer, `{"keep": %q, "addresses": [%s]}`, keep, strings.Join(entries, ","))
	}))
	t.Cleanup(started.server.Close)
	started.address = started.server.Listener.Addr().String()
	return started
}

func do(t *testing.T, client *Client, method string) (string, error) {
	request, err := http.NewRequest(method, "http://slots.example/slots", http.NoBody)
	require.NoError(t, err)
	request.Header.Set("Idempotency-Key", "k")
	response, err := client.Do("browsing", request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(text), nil
}

func TestAddressesAreCached(t *testing.T) {
	var first *fakeInstance
	first = startFakeInstance(t, "1h", func() []string { return []string{first.address} })
	client := New(Options{Seeds: []string{"127.0.0.1:1", first.address}})
	defer client.Close()
	for range 10 {
		text, err := do(t, client, http.MethodGet)
		require.NoError(t, err)
		require.Equal(t, "GET slots.example", text)
	}
	require.EqualValues(t, 1, first.addressQueries.Load(), "the answer is kept")
	require.EqualValues(t, 10, first.requests.Load())
}

func TestExpiredAddressesAreFetchedAgain(t *testing.T) {
	var first *fakeInstance
	first = startFakeInstance(t, "0s", func() []string { return []string{first.address} })
	client := New(Options{Seeds: []string{first.address}})
	defer client.Close()
	for range 3 {
		_, err := do(t, client, http.MethodGet)
		require.NoError(t, err)
	}
	require.EqualValues(t, 3, first.addressQueries.Load())
}

// An instance that the kept answer names has gone. No connection to it can be made, so the request goes to the next,
// even a payment, and the answer is asked for anew.
func TestUnreachableInstanceIsSkipped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := listener.Addr().String()
	listener.Close()
	var living *fakeInstance
	living = startFakeInstance(t, "1h", func() []string { return []string{gone, living.address} })
	client := New(Options{Seeds: []string{living.address}})
	defer client.Close()
	for range 20 {
		text, err := do(t, client, http.MethodPost)
		require.NoError(t, err)
		require.Equal(t, "POST slots.example", text)
	}
	require.EqualValues(t, 20, living.requests.Load())
	living.server.Close()
	_, err = do(t, client, http.MethodPost)
	require.Error(t, err)
	_, err = New(Options{Seeds: []string{gone}}).Addresses(t.Context(), "browsing")
	require.ErrorIs(t, err, ErrNoInstance)
}

// The kept connection to an instance dies under a payment with a key. The standard client would send it again by itself;
// the caller gets an error instead, and the payment has run once.
func TestPostIsSentOnce(t *testing.T) {
	var posts atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go closeAfterPost(connection, listener.Addr().String(), &posts)
		}
	}()
	client := New(Options{Seeds: []string{listener.Addr().String()}})
	defer client.Close()
	_, err = do(t, client, http.MethodPost)
	require.Error(t, err)
	require.EqualValues(t, 1, posts.Load())
}

// closeAfterPost answers what is asked of it and cuts the connection once it has read a payment.
func closeAfterPost(connection net.Conn, self string, posts *atomic.Int64) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Method == http.MethodPost {
			posts.Add(1)
			return
		}
		text := fmt.Sprintf(`{"keep": "1h", "addresses": [{"address": %q}]}`, self)
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}
