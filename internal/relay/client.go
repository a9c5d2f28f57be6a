package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// connections configures how connections to other instances are opened and kept.
var connections = settings.Connections{
	ConnectTimeout: 200 * clock.Millisecond,
	IdleTimeout:    5 * clock.Second,
	FreshFor:       500 * clock.Millisecond,
	AckTimeout:     500 * clock.Millisecond,
}

const (
	// maxConnections is the maximum number of connections to one instance.
	maxConnections = 128
	// avoidDuration is how long an instance that could not be connected to gets no other request.
	avoidDuration = clock.Second
)

// Peer is an instance through which requests may be relayed.
type Peer struct {
	Name settings.InstanceName
	// Address is the IP address and port at which the instance accepts relayed requests.
	Address string
	// Local is whether the instance is in the data centre of this one, Serving whether it serves callers.
	Local, Serving bool
	// Unreachable are the services that the instance cannot reach.
	Unreachable map[settings.ServiceName]bool
}

// target is the name of the peer among those of backend servers.
func (peer Peer) target() settings.TargetName {
	return settings.TargetName(peer.Name)
}

// Options configures a Client.
type Options struct {
	Clock *clock.Clock
	Rand  *rand.Rand
	// Guard recovers panics on goroutines of net/http; nil lets them pass.
	Guard *supervisor.Guard
}

// Client sends relayed requests to other instances. It is safe for concurrent use.
type Client struct {
	clock   *clock.Clock
	servers *backendserver.Servers
	// peers is nil while no request is relayed.
	peers atomic.Pointer[[]Peer]

	mutex  sync.Mutex
	random *rand.Rand
	// avoidUntil is until when instances get no request.
	avoidUntil map[settings.TargetName]clock.Moment
}

// NewClient returns a Client that knows no other instance.
func NewClient(options Options) *Client {
	client := &Client{clock: options.Clock, random: options.Rand, servers: backendserver.NewServers(options.Clock), avoidUntil: map[settings.TargetName]clock.Moment{}}
	client.servers.OnConnect, client.servers.Guard = client.recordConnect, options.Guard
	return client
}

func (client *Client) recordConnect(target settings.TargetName, err error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if err == nil {
		delete(client.avoidUntil, target)
		return
	}
	client.avoidUntil[target] = client.clock.Now().Add(avoidDuration)
}

// SetPeers replaces the instances through which requests may be relayed.
func (client *Client) SetPeers(peers []Peer) {
	before := client.peers.Load()
	if peers == nil {
		client.peers.Store(nil)
	} else {
		client.peers.Store(&peers)
	}
	if before == nil {
		return
	}
	for _, peer := range *before {
		if !slices.ContainsFunc(peers, func(other Peer) bool { return other.Name == peer.Name }) {
			client.servers.Remove(peer.target())
		}
	}
	client.servers.CloseIdle()
}

// Choose returns an instance that reaches the service and is not among those tried, and whether there is one: one that serves callers
// rather than one on standby, and one of the same data centre rather than another.
func (client *Client) Choose(service settings.ServiceName, tried []settings.InstanceName) (Peer, bool) {
	peers := client.peers.Load()
	if peers == nil {
		return Peer{}, false
	}
	now := client.clock.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	var best []Peer
	bestRank := 0
	for _, peer := range *peers {
		if peer.Unreachable[service] || slices.Contains(tried, peer.Name) || now < client.avoidUntil[peer.target()] {
			continue
		}
		rank := peer.rank()
		if len(best) == 0 || rank > bestRank {
			best, bestRank = best[:0], rank
		}
		if rank == bestRank {
			best = append(best, peer)
		}
	}
	if len(best) == 0 {
		return Peer{}, false
	}
	return best[client.random.IntN(len(best))], true
}

// rank is higher for instances that are preferred.
func (peer Peer) rank() int {
	const local, serving = 1, 2
	rank := 0
	if peer.Serving {
		rank += serving
	}
	if peer.Local {
		rank += local
	}
	return rank
}

// Send sends the request to the instance and returns when the response header has arrived. With freshOnly it uses a connection that is
// certain to work. The error is a *backendserver.Error.
func (client *Client) Send(ctx context.Context, peer Peer, request *http.Request, freshOnly bool) (*backendserver.Exchange, error) {
	client.servers.Set(peer.target(), backendserver.Options{Address: peer.Address, MaxConnections: backendserver.FixedLimit(maxConnections), Connections: connections})
	return client.servers.Send(ctx, peer.target(), request, freshOnly)
}

// Close closes all idle connections.
func (client *Client) Close() {
	client.servers.Close()
}
