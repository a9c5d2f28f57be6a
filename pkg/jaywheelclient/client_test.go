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

// fakeInstance is a fake entry instance that lists addresses and counts the address queries and requests that it receives.
type fakeInstance struct {
	address        string
	addressQueries atomic.Int64
	requests       atomic.Int64
	server         *httptest.Server
}

func startFakeInstance(t *testing.T, keep string, addresses func() []string) *fakeInstance {
	instance := &fakeInstance{}
	instance.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != addressesPath {
			instance.requests.Add(1)
			_, _ = fmt.Fprintf(writer, "%s %s", request.Method, request.Host)
			return
		}
		instance.addressQueries.Add(1)
		var entries []string
		for _, address := range addresses() {
			entries = append(entries, fmt.Sprintf(`{"address": %q}`, address))
		}
		_, _ = fmt.Fprintf(writer, `{"keep": %q, "addresses": [%s]}`, keep, strings.Join(entries, ","))
	}))
	t.Cleanup(instance.server.Close)
	instance.address = instance.server.Listener.Addr().String()
	return instance
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
	require.EqualValues(t, 1, first.addressQueries.Load(), "the addresses are cached")
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

// Guards against requests that fail while a cached address is unreachable: no connection to it can be opened, so even a
// payment must go to the next instance, and the addresses must be fetched again.
func TestUnreachableInstanceIsSkipped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := listener.Addr().String()
	listener.Close()
	var reachable *fakeInstance
	reachable = startFakeInstance(t, "1h", func() []string { return []string{unreachable, reachable.address} })
	client := New(Options{Seeds: []string{reachable.address}})
	defer client.Close()
	for range 20 {
		text, err := do(t, client, http.MethodPost)
		require.NoError(t, err)
		require.Equal(t, "POST slots.example", text)
	}
	require.EqualValues(t, 20, reachable.requests.Load())
	reachable.server.Close()
	_, err = do(t, client, http.MethodPost)
	require.Error(t, err)
	_, err = New(Options{Seeds: []string{unreachable}}).Addresses(t.Context(), "browsing")
	require.ErrorIs(t, err, ErrNoInstance)
}

// Guards against a payment with an Idempotency-Key that runs twice: when the reused connection fails, the standard client
// would retry the payment by itself. The caller must get an error, and the payment must have been sent once.
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

// closeAfterPost responds to address queries and closes the connection once it has read a POST request.
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
