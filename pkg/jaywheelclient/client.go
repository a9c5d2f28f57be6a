// Package jaywheelclient is for callers of a jaywheel site: it asks which instances to use for a service, keeps the
// answer as long as it may, and sends requests there.
//
// # Usage
//
//	client := jaywheelclient.New(jaywheelclient.Options{Seeds: []string{"10.0.0.4:8080", "10.0.1.4:8080"}})
//	response, err := client.Do("browsing", request)
//	result, reason := outcome.FromHeader(response.Header)
//
// A request goes to another instance only when no connection to the first could be made, so that it can't have run.
// What to do about an answer whose outcome is notRun or unknown is for the caller to decide: notRun may be sent again,
// after the answer's Retry-After; unknown may be sent again only if running twice does no harm.
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

// addressesPath is where an instance answers which instances to use.
const addressesPath = settings.ReservedPath + "v1/addresses"

// Bounds of what the client does by itself.
const (
	addressesTimeout = 2 * clock.Second
	connectTimeout   = 500 * clock.Millisecond
	maxResponseSize  = 1 << 20
)

// ErrNoInstance says that no instance could be asked or connected to. The request did not run.
var ErrNoInstance = errors.New("no instance can be reached")

// Options are what a Client is made from.
type Options struct {
	// Seeds are addresses of instances to ask first, IP and port.
	Seeds []string
	// MaxIdleConnections is the largest number of idle connections kept to one instance; 0 stands for 64.
	MaxIdleConnections int
}

// Client sends requests through a jaywheel site. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client

	mutex sync.Mutex
	cache map[settings.ServiceName]*addressList
}

// addressList is what an instance said, and until when it holds.
type addressList struct {
	addresses  []string
	expires    time.Time
	refreshing bool
}

// New returns a client.
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
	rejectRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		options: options,
		http:    &http.Client{Transport: transport, CheckRedirect: rejectRedirects},
		cache:   map[settings.ServiceName]*addressList{},
	}
}

// Close gives up idle connections.
func (client *Client) Close() {
	client.http.CloseIdleConnections()
}

// Do sends a request to a service. The URL's host names the service to the site; the connection goes to an instance
// that the site named. The error is ErrNoInstance when the request did not run; after any other it may have.
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

// send sends the request to one instance. The standard library would send a request with an Idempotency-Key again by
// itself when a kept connection dies; a body that it can't rewind keeps it from that.
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

// nonRewindableBody is a body that can't be rewound, also when it is empty.
type nonRewindableBody struct {
	reader io.ReadCloser
}

// Read implements io.Reader.
func (onceBody nonRewindableBody) Read(buffer []byte) (int, error) {
	if onceBody.reader == nil {
		return 0, io.EOF
	}
	return onceBody.reader.Read(buffer)
}

// Close implements io.Closer.
func (onceBody nonRewindableBody) Close() error {
	if onceBody.reader == nil {
		return nil
	}
	return onceBody.reader.Close()
}

// isDialError reports whether no connection was made.
func isDialError(err error) bool {
	var operationError *net.OpError
	return errors.As(err, &operationError) && operationError.Op == "dial"
}

// Addresses returns the instances to use for a service, from the answer kept or a new one. While a new one is asked
// for, others go on with the old.
func (client *Client) Addresses(ctx context.Context, service settings.ServiceName) ([]string, error) {
	client.mutex.Lock()
	kept := client.cache[service]
	if kept != nil && (kept.refreshing || time.Now().Before(kept.expires)) {
		client.mutex.Unlock()
		return kept.addresses, nil
	}
	candidates := client.options.Seeds
	if kept != nil {
		kept.refreshing = true
		candidates = append(append([]string{}, kept.addresses...), candidates...)
	}
	client.mutex.Unlock()
	fresh, err := client.fetchAddresses(ctx, service, candidates)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if err == nil {
		client.cache[service] = fresh
		return fresh.addresses, nil
	}
	if kept != nil {
		kept.refreshing = false
		// An old answer beats none: instances serve callers that come by one.
		return kept.addresses, nil
	}
	return nil, err
}

// expire makes the next call ask anew.
func (client *Client) expire(service settings.ServiceName) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if kept := client.cache[service]; kept != nil {
		kept.expires = time.Time{}
	}
}

// fetchAddresses asks the candidates in turn.
func (client *Client) fetchAddresses(ctx context.Context, service settings.ServiceName, candidates []string) (*addressList, error) {
	var last error
	for _, candidate := range candidates {
		fresh, err := client.fetchAddressesFrom(ctx, service, candidate)
		if err == nil {
			return fresh, nil
		}
		last = err
	}
	return nil, errors.Wrapf(ErrNoInstance, "ask %d instances for addresses, the last: %v", len(candidates), last)
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
		return nil, errors.Wrapf(err, "read the answer of %s", candidate)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answered %d: %s", candidate, response.StatusCode, text)
	}
	var payload struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
		Keep clock.Milliseconds `json:"keep"`
	}
	if err := json.Unmarshal(text, &payload); err != nil {
		return nil, errors.Wrapf(err, "answer of %s", candidate)
	}
	if len(payload.Addresses) == 0 {
		return nil, errors.Newf("%s named no instance", candidate)
	}
	fresh := &addressList{expires: time.Now().Add(payload.Keep.Duration())}
	for _, entry := range payload.Addresses {
		fresh.addresses = append(fresh.addresses, entry.Address)
	}
	return fresh, nil
}
