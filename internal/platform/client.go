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

// ErrAnswer says that the platform's answer makes no sense.
var ErrAnswer = errors.New("answer not understood")

// Client reads the platform. It is safe for concurrent use.
type Client struct {
	settings settings.Platform
	http     *http.Client
}

// NewClient returns a client.
func NewClient(platformSettings settings.Platform) *Client {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}
	return &Client{settings: platformSettings, http: &http.Client{Transport: transport}}
}

// Close gives up idle connections.
func (client *Client) Close() {
	client.http.CloseIdleConnections()
}

// WatchKeys returns the keys of the configuration service once their index is above after, or when the wait is over.
func (client *Client) WatchKeys(ctx context.Context, after Index) (Keys, error) {
	text, err := client.watch(ctx, client.settings.ConfigurationAddress, KeysPath, after)
	var keys Keys
	if err == nil {
		keys, err = parseKeys(text)
	}
	return keys, wrap(StepKeys, client.settings.ConfigurationAddress, err)
}

// Value reads one document.
func (client *Client) Value(ctx context.Context, key string) ([]byte, error) {
	address := client.settings.ConfigurationAddress
	text, err := client.get(ctx, url.URL{Scheme: "http", Host: address, Path: ValuesPath + key}, client.settings.Timeout, ValueMost)
	return text, wrap(StepValue, address, errors.Wrapf(err, "key %s", key))
}

// WatchInstances returns the list of instances once its index is above after, or when the wait is over.
func (client *Client) WatchInstances(ctx context.Context, after Index) (List, error) {
	text, err := client.watch(ctx, client.settings.InstancesAddress, InstancesPath, after)
	var list List
	if err == nil {
		list, err = parseList(text)
	}
	return list, wrap(StepInstances, client.settings.InstancesAddress, err)
}

func parseList(text []byte) (List, error) {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return List{}, errors.Wrapf(ErrAnswer, "%v", err)
	}
	return list, list.check()
}

func parseKeys(text []byte) (Keys, error) {
	var keys Keys
	if err := json.Unmarshal(text, &keys); err != nil {
		return Keys{}, errors.Wrapf(ErrAnswer, "%v", err)
	}
	if len(keys.Keys) == 0 {
		return Keys{}, errors.Wrap(ErrAnswer, "no keys at all")
	}
	return keys, nil
}

func (client *Client) watch(ctx context.Context, address, path string, after Index) ([]byte, error) {
	query := url.Values{}
	query.Set(AfterParameter, strconv.FormatUint(uint64(after), 10))
	query.Set(WaitParameter, strconv.FormatInt(int64(client.settings.WatchTimeout), 10))
	timeout := client.settings.Timeout + client.settings.WatchTimeout
	return client.get(ctx, url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}, timeout, ListMost)
}

func (client *Client) get(ctx context.Context, from url.URL, timeout clock.Milliseconds, most int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, from.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrAnswer, "status %d", response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, most+1))
	if err == nil && int64(len(text)) > most {
		err = errors.Wrapf(ErrAnswer, "more than %d bytes", most)
	}
	return text, err
}

func wrap(step Step, peer string, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Cause: cause}
}

// check refuses a list that can't be right. An empty one would take every backend server away at once, and nothing but
// a fault of the platform empties it.
func (list *List) check() error {
	if len(list.Instances) == 0 {
		return errors.Wrap(ErrAnswer, "an empty list")
	}
	names := make(map[string]bool, len(list.Instances))
	for index := range list.Instances {
		instance := &list.Instances[index]
		if err := instance.check(); err != nil {
			return errors.Wrapf(err, "instances.%d", index)
		}
		if names[instance.Name] {
			return errors.Wrapf(ErrAnswer, "instances.%d: %q stands twice", index, instance.Name)
		}
		names[instance.Name] = true
	}
	return nil
}

func (instance *Instance) check() error {
	switch {
	case instance.Name == "":
		return errors.Wrap(ErrAnswer, "no name")
	case instance.Kind != KindEntry && instance.Kind != KindBackendServer:
		return errors.Wrapf(ErrAnswer, "kind %q", instance.Kind)
	case instance.State != StateLive && instance.State != StateLeaving:
		return errors.Wrapf(ErrAnswer, "state %q", instance.State)
	case instance.Kind == KindBackendServer && instance.Service == "":
		return errors.Wrap(ErrAnswer, "a backend server without a service")
	}
	if _, err := netip.ParseAddrPort(instance.Address); err != nil {
		return errors.Wrapf(ErrAnswer, "address %q", instance.Address)
	}
	if _, err := netip.ParseAddrPort(instance.PeerAddress); instance.Kind == KindEntry && err != nil {
		return errors.Wrapf(ErrAnswer, "peerAddress %q", instance.PeerAddress)
	}
	return nil
}
