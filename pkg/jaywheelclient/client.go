// Package jaywheelclient is the client library for callers of a jaywheel site. It queries an instance for the addresses
// that serve a service, caches them for the time that the response allows, and sends requests to these addresses.
//
// # Usage
//
//	client := jaywheelclient.New(jaywheelclient.Options{Seeds: []string{"10.0.0.4:8080", "10.0.1.4:8080"}})
//	response, err := client.Do("browsing", request)
//	result, reason := outcome.FromHeader(response.Header)
//
// A request is sent to another instance only if no connection to the first could be opened, so that it can't have run.
// The caller decides whether to retry a request: with outcome notRun it may be retried after the response's Retry-After;
// with outcome unknown it may be retried only if it is idempotent.
package jaywheelclient

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// addressesPath is the endpoint of an instance that lists the instances to use for a service.
const addressesPath = settings.ReservedPath + "v1/addresses"

// Limits of the client's own requests and connections.
const (
	addressesTimeout = 2 * clock.Second
	connectTimeout   = 500 * clock.Millisecond
	maxResponseSize  = 1 << 20
)

// ErrNoInstance is returned when no instance could be queried for addresses or connected to. The request did not run.
var ErrNoInstance = errors.New("no instance can be reached")

// Options configures a Client.
type Options struct {
	// Seeds lists the IP addresses and ports of instances to query for addresses at first.
	Seeds []string
	// MaxIdleConnections is the largest number of idle connections to one instance; 0 means 64.
	MaxIdleConnections int
}

// Client sends requests through a jaywheel site. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client

	mutex sync.Mutex
	cache map[settings.ServiceName]*addressList
}

// addressList is a cached list of addresses and its expiry time.
type addressList struct {
	addresses  []string
	expires    time.Time
	refreshing bool
}

// New returns a client with the given options. It opens no connection by itself.
func New(options Options) *Client {
	if options.MaxIdleConnections == 0 {
		options.MaxIdleConnections = 64
	}
	dialer := &net.Dialer{Timeout: connectTimeout.Duration()}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: options.MaxIdleConnections,
		DisableCompression:  true,
	}
	returnRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		options: options,
		http:    &http.Client{Transport: transport, CheckRedirect: returnRedirects},
		cache:   map[settings.ServiceName]*addressList{},
	}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.http.CloseIdleConnections()
}

// Do sends a request to a service. The host of the URL selects the service within the site; the connection goes to an
// instance from the service's address list. If the error is ErrNoInstance, the request did not run; after any other error
// it may have run. The caller must close the body of the response.
func (client *Client) Do(service settings.ServiceName, request *http.Request) (*http.Response, error) {
	addresses, err := client.Addresses(request.Context(), service)
	if err != nil {
		return nil, err
	}
	start := rand.IntN(len(addresses))
	for offset := range addresses {
		response, err := client.send(addresses[(start+offset)%len(addresses)], request)
		if !isDialError(err) {
			return response, err
		}
		client.expire(service)
	}
	return nil, errors.Wrapf(ErrNoInstance, "connect to %d instances", len(addresses))
}

// send sends the request to one instance. The standard library retries a request with an Idempotency-Key by itself when a
// reused connection fails; a body that it can't rewind prevents that.
func (client *Client) send(address string, request *http.Request) (*http.Response, error) {
	outgoing := request.Clone(request.Context())
	if outgoing.Host == "" {
		outgoing.Host = request.URL.Host
	}
	outgoing.URL.Scheme = "http"
	outgoing.URL.Host = address
	if request.Method != http.MethodGet && request.Method != http.MethodHead {
		outgoing.GetBody = nil
		outgoing.Body = nonRewindableBody{reader: request.Body}
	}
	return client.http.Do(outgoing)
}

// nonRewindableBody is a request body that can't be rewound, even if it is empty.
type nonRewindableBody struct {
	reader io.ReadCloser
}

// Read implements io.Reader.
func (nonRewindableBody nonRewindableBody) Read(buffer []byte) (int, error) {
	if nonRewindableBody.reader == nil {
		return 0, io.EOF
	}
	return nonRewindableBody.reader.Read(buffer)
}

// Close implements io.Closer.
func (nonRewindableBody nonRewindableBody) Close() error {
	if nonRewindableBody.reader == nil {
		return nil
	}
	return nonRewindableBody.reader.Close()
}

// isDialError reports whether err means that no connection was opened.
func isDialError(err error) bool {
	var operationError *net.OpError
	return errors.As(err, &operationError) && operationError.Op == "dial"
}

// Addresses returns the IP addresses and ports of the instances to use for a service, from the cache or, if the cached list
// has expired, from an instance. While one call refreshes the list, concurrent calls use the expired one. The error is
// ErrNoInstance when there is no cached list and no instance can be queried.
func (client *Client) Addresses(ctx context.Context, service settings.ServiceName) ([]string, error) {
	client.mutex.Lock()
	cached := client.cache[service]
	if cached != nil && (cached.refreshing || time.Now().Before(cached.expires)) {
		client.mutex.Unlock()
		return cached.addresses, nil
	}
	candidates := client.options.Seeds
	if cached != nil {
		cached.refreshing = true
		candidates = append(append([]string{}, cached.addresses...), candidates...)
	}
	client.mutex.Unlock()
	list, err := client.fetchAddresses(ctx, service, candidates)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if err == nil {
		client.cache[service] = list
		return list.addresses, nil
	}
	if cached != nil {
		cached.refreshing = false
		// An expired list is better than none: instances serve callers that use one.
		return cached.addresses, nil
	}
	return nil, err
}

// expire makes the next call of Addresses refresh the list.
func (client *Client) expire(service settings.ServiceName) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if cached := client.cache[service]; cached != nil {
		cached.expires = time.Time{}
	}
}

// fetchAddresses queries the candidates in turn until one responds.
func (client *Client) fetchAddresses(ctx context.Context, service settings.ServiceName, candidates []string) (*addressList, error) {
	var lastErr error
	for _, candidate := range candidates {
		list, err := client.fetchAddressesFrom(ctx, service, candidate)
		if err == nil {
			return list, nil
		}
		lastErr = err
	}
	return nil, errors.Wrapf(ErrNoInstance, "query %d instances for addresses, last error: %v", len(candidates), lastErr)
}

func (client *Client) fetchAddressesFrom(ctx context.Context, service settings.ServiceName, candidate string) (*addressList, error) {
	ctx, cancel := context.WithTimeout(ctx, addressesTimeout.Duration())
	defer cancel()
	query := url.Values{"service": {string(service)}}
	target := url.URL{Scheme: "http", Host: candidate, Path: addressesPath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return parseAddresses(candidate, response)
}

func parseAddresses(candidate string, response *http.Response) (*addressList, error) {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return nil, errors.Wrapf(err, "read the response of %s", candidate)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s responded with status %d: %s", candidate, response.StatusCode, text)
	}
	var payload struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
		Keep clock.Milliseconds `json:"keep"`
	}
	if err := json.Unmarshal(text, &payload); err != nil {
		return nil, errors.Wrapf(err, "parse the response of %s", candidate)
	}
	if len(payload.Addresses) == 0 {
		return nil, errors.Newf("the response of %s lists no instance", candidate)
	}
	list := &addressList{expires: time.Now().Add(payload.Keep.Duration())}
	for _, entry := range payload.Addresses {
		list.addresses = append(list.addresses, entry.Address)
	}
	return list, nil
}
