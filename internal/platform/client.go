package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// ErrInvalidResponse is returned for a response of the platform that is malformed, too large, has an unexpected status or
// holds invalid values.
var ErrInvalidResponse = errors.New("response not understood")

// maxHeadBytes limits the head of a response, for which net/http would read 10 MB.
const maxHeadBytes = 32 << 10

// Client reads from the platform's services. It is safe for concurrent use.
type Client struct {
	settings settings.Platform
	http     *http.Client
}

// NewClient returns a client for the addresses in the settings.
func NewClient(platformSettings settings.Platform) *Client {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{settings: platformSettings, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.http.CloseIdleConnections()
}

// WatchKeys returns the keys of the configuration service once their index is above after, or when the wait is over. The
// error is an *Error.
func (client *Client) WatchKeys(ctx context.Context, after Index) (Keys, error) {
	text, err := client.watch(ctx, client.settings.ConfigurationAddress, KeysPath, after)
	var keys Keys
	if err == nil {
		keys, err = parseKeys(text)
	}
	return keys, wrap(StepKeys, client.settings.ConfigurationAddress, err)
}

// Value reads the document with the given key from the configuration service. The error is an *Error.
func (client *Client) Value(ctx context.Context, key string) ([]byte, error) {
	address := client.settings.ConfigurationAddress
	text, err := client.get(ctx, url.URL{Scheme: "http", Host: address, Path: ValuesPath + key}, client.settings.Timeout, MaxValueBytes)
	return text, wrap(StepValue, address, errors.Wrapf(err, "key %s", key))
}

// WatchInstances returns the list of instances once its index is above after, or when the wait is over. The error is an
// *Error.
func (client *Client) WatchInstances(ctx context.Context, after Index) (InstanceList, error) {
	text, err := client.watch(ctx, client.settings.InstancesAddress, InstancesPath, after)
	var list InstanceList
	if err == nil {
		list, err = parseList(text)
	}
	return list, wrap(StepInstances, client.settings.InstancesAddress, err)
}

func parseList(text []byte) (InstanceList, error) {
	var list InstanceList
	if err := json.Unmarshal(text, &list); err != nil {
		return InstanceList{}, errors.Wrapf(ErrInvalidResponse, "%v", err)
	}
	return list, list.validate()
}

func parseKeys(text []byte) (Keys, error) {
	var keys Keys
	if err := json.Unmarshal(text, &keys); err != nil {
		return Keys{}, errors.Wrapf(ErrInvalidResponse, "%v", err)
	}
	if len(keys.Keys) == 0 {
		return Keys{}, errors.Wrap(ErrInvalidResponse, "list of keys is empty")
	}
	return keys, nil
}

func (client *Client) watch(ctx context.Context, address, path string, after Index) ([]byte, error) {
	query := url.Values{}
	query.Set(AfterParameter, strconv.FormatUint(uint64(after), 10))
	query.Set(WaitParameter, strconv.FormatInt(int64(client.settings.WatchTimeout), 10))
	timeout := client.settings.Timeout + client.settings.WatchTimeout
	return client.get(ctx, url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}, timeout, MaxListBytes)
}

func (client *Client) get(ctx context.Context, location url.URL, timeout clock.Milliseconds, maxBytes int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, location.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrInvalidResponse, "status %d", response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err == nil && int64(len(text)) > maxBytes {
		err = errors.Wrapf(ErrInvalidResponse, "more than %d bytes", maxBytes)
	}
	return text, err
}

func wrap(step Step, peer string, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Cause: cause}
}

// validate rejects a list that can't be correct. An empty list would remove every backend server at once, and only a fault
// of the platform produces one.
func (instanceList *InstanceList) validate() error {
	if len(instanceList.Instances) == 0 {
		return errors.Wrap(ErrInvalidResponse, "list of instances is empty")
	}
	names := make(map[string]bool, len(instanceList.Instances))
	for index := range instanceList.Instances {
		instance := &instanceList.Instances[index]
		if err := instance.validate(); err != nil {
			return errors.Wrapf(err, "instances.%d", index)
		}
		if names[instance.Name] {
			return errors.Wrapf(ErrInvalidResponse, "instances.%d: %q is listed twice", index, instance.Name)
		}
		names[instance.Name] = true
	}
	return nil
}

func (instance *Instance) validate() error {
	switch {
	case instance.Name == "":
		return errors.Wrap(ErrInvalidResponse, "name is missing")
	case instance.Kind != KindEntry && instance.Kind != KindBackendServer:
		return errors.Wrapf(ErrInvalidResponse, "unknown kind %q", instance.Kind)
	case instance.State != StateLive && instance.State != StateLeaving:
		return errors.Wrapf(ErrInvalidResponse, "unknown state %q", instance.State)
	case instance.Kind == KindBackendServer && instance.Service == "":
		return errors.Wrap(ErrInvalidResponse, "backend server without a service")
	}
	if _, err := netip.ParseAddrPort(instance.Address); err != nil {
		return errors.Wrapf(ErrInvalidResponse, "invalid address %q", instance.Address)
	}
	if _, err := netip.ParseAddrPort(instance.PeerAddress); instance.Kind == KindEntry && err != nil {
		return errors.Wrapf(ErrInvalidResponse, "invalid peerAddress %q", instance.PeerAddress)
	}
	return nil
}
