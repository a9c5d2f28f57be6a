package fleet

import (
	"context"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Times of the store.
const (
	slowResponseDelay = 400 * clock.Millisecond
	replicaLag        = 1500 * clock.Millisecond
	// serverLease is how long the entry of a server stays without being renewed.
	serverLease = 3 * clock.Second
)

// virtualStore is the store of a platform. It keeps all states that it ever had, so that a response may come from a replica
// that lags. It is guarded by the mutex of the fleet.
type virtualStore struct {
	fleet   *virtualFleet
	states  []storeState
	changed chan struct{}
	// refusingAt is when the store last refused the calls of machines, degradedAt when it was last down, slow or lagging.
	refusingAt, degradedAt clock.Moment
	version                catalog.Version
	configuration          *catalog.Configuration
	forgotten              catalog.Revision
	servers                int
	// calls is the number of calls that machines have made.
	calls   int
	expired []expiredServer
	// left is when servers became leaving, or were removed for good, while the store was stable.
	left map[settings.TargetName]clock.Moment
	// evacuated is when data centres were evacuated.
	evacuated map[settings.DataCentreName]clock.Moment
}

// storeState is the content of the store from a certain time on.
type storeState struct {
	revision catalog.Revision
	at       clock.Moment
	items    map[catalog.Key]catalog.Item
}

var errStoreRefuses = errors.New("the store refuses the call")

func newVirtualStore(fleet *virtualFleet) *virtualStore {
	store := &virtualStore{
		fleet: fleet, changed: make(chan struct{}), left: map[settings.TargetName]clock.Moment{}, evacuated: map[settings.DataCentreName]clock.Moment{},
		states: []storeState{{revision: 1, items: map[catalog.Key]catalog.Item{}}},
	}
	first := newColdView(fleet.options.servers, fleet.options.dataCentres)
	for name, limits := range first.Configuration.Services {
		limits.ProbePath = "/load"
		first.Configuration.Services[name] = limits
	}
	store.configuration = first.Configuration
	store.configure()
	for range fleet.options.servers {
		store.addServer()
	}
	return store
}

// write adds the next state. A nil item removes the key.
func (store *virtualStore) write(key catalog.Key, item *catalog.Item) {
	last := store.states[len(store.states)-1]
	items := maps.Clone(last.items)
	if item == nil {
		delete(items, key)
	} else {
		item.Key = key
		items[key] = *item
	}
	store.states = append(store.states, storeState{revision: last.revision + 1, at: store.fleet.clock.Now(), items: items})
	close(store.changed)
	store.changed = make(chan struct{})
}

// configure writes a newer version of the configuration.
func (store *virtualStore) configure() {
	store.version++
	configuration := *store.configuration
	configuration.Version = store.version
	store.write("configuration", &catalog.Item{Configuration: &configuration})
}

func (store *virtualStore) addServer() {
	server := *newColdView(store.servers+1, store.fleet.options.dataCentres).Servers.Find(targetName(store.servers))
	store.servers++
	if store.fleet.options.statements {
		server.ColdFor = 0
	}
	store.write(catalog.ServerKey(server.Name), &catalog.Item{Server: &server})
}

// listed returns the servers of the newest state in the order of their keys.
func (store *virtualStore) listed() []catalog.Server {
	items := store.states[len(store.states)-1].items
	var servers []catalog.Server
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if server := items[key].Server; server != nil {
			servers = append(servers, *server)
		}
	}
	return servers
}

// change sets the state of a server, or removes the server if the state is empty.
func (store *virtualStore) change(server catalog.Server, state catalog.ServerState) {
	now := store.fleet.clock.Now()
	if _, left := store.left[server.Name]; !left && store.stable(now) {
		store.left[server.Name] = now
	}
	server.State = state
	if state == "" {
		store.write(catalog.ServerKey(server.Name), nil)
		return
	}
	store.write(catalog.ServerKey(server.Name), &catalog.Item{Server: &server})
}

// toggleEvacuated evacuates a data centre, or ends its evacuation.
func (store *virtualStore) toggleEvacuated(name settings.DataCentreName) {
	if _, evacuated := store.evacuated[name]; evacuated {
		delete(store.evacuated, name)
		store.write(catalog.EvacuationKey(name), nil)
		return
	}
	store.evacuated[name] = store.fleet.clock.Now()
	store.write(catalog.EvacuationKey(name), &catalog.Item{Evacuated: name})
}

// stable reports whether the store was undisturbed for contactTime.
func (store *virtualStore) stable(now clock.Moment) bool {
	return now.Since(max(store.refusingAt, store.degradedAt)) >= contactTime
}

// source returns the store as a process reaches it.
func (store *virtualStore) source(process *process) catalog.Source {
	return catalog.Source{
		ReadAll: func(ctx context.Context, callTimeout clock.Milliseconds) (catalog.Snapshot, error) {
			return store.read(ctx, process, callTimeout, store.visible)
		},
		ReadStale: func(ctx context.Context, callTimeout clock.Milliseconds) (catalog.Snapshot, error) {
			if store.onlyStale() {
				return store.snapshot(ctx, process, store.lagged)
			}
			return store.read(ctx, process, callTimeout, store.lagged)
		},
		Watch: func(ctx context.Context, after catalog.Revision, wait clock.Milliseconds) (catalog.Changes, error) {
			return store.watch(ctx, process, after, wait)
		},
		Check: func(ctx context.Context, after catalog.Revision) (catalog.Changes, error) {
			return store.watch(ctx, process, after, 0)
		},
	}
}

// read returns the whole content of a state.
func (store *virtualStore) read(
	ctx context.Context, process *process, callTimeout clock.Milliseconds, choose func() *storeState,
) (catalog.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	store.countCall()
	if err := store.admit(ctx, process, store.fleet.clock.Now()); err != nil {
		return catalog.Snapshot{}, err
	}
	return store.snapshot(ctx, process, choose)
}

// onlyStale reports whether the store answers nothing but stale reads.
func (store *virtualStore) onlyStale() bool {
	store.fleet.mutex.Lock()
	defer store.fleet.mutex.Unlock()
	return store.fleet.isActive(storeStale)
}

func (store *virtualStore) snapshot(ctx context.Context, process *process, choose func() *storeState) (catalog.Snapshot, error) {
	store.fleet.mutex.Lock()
	state := choose()
	store.fleet.mutex.Unlock()
	snapshot := catalog.Snapshot{Revision: state.revision}
	for _, key := range slices.Sorted(maps.Keys(state.items)) {
		snapshot.Items = append(snapshot.Items, state.items[key])
	}
	return snapshot, process.awaitCall(ctx, halfCallTime)
}

func (store *virtualStore) countCall() {
	store.fleet.mutex.Lock()
	defer store.fleet.mutex.Unlock()
	store.calls++
}

func (store *virtualStore) callCount() int {
	store.fleet.mutex.Lock()
	defer store.fleet.mutex.Unlock()
	return store.calls
}

// admit accepts a call that began at the given time, refuses it, or lets it hang.
func (store *virtualStore) admit(ctx context.Context, process *process, began clock.Moment) error {
	if err := process.awaitCall(ctx, halfCallTime); err != nil {
		return err
	}
	store.fleet.mutex.Lock()
	link := store.fleet.network.links[process.machine.number]
	hangs, slow := link.storeUnreachable || store.fleet.isActive(storeDown) || store.fleet.isActive(storeStale), store.fleet.isActive(storeSlow)
	hangs = hangs || began <= process.machine.connectionsLostAt
	store.fleet.mutex.Unlock()
	switch {
	case hangs:
		<-ctx.Done()
		return errors.CombineErrors(process.awaitCall(ctx, 0), ctx.Err())
	case link.storeRefuses:
		return errors.CombineErrors(process.awaitCall(ctx, halfCallTime), errStoreRefuses)
	case slow:
		return process.awaitCall(ctx, slowResponseDelay)
	default:
		return nil
	}
}

// visible returns the state that calls to the store read.
func (store *virtualStore) visible() *storeState {
	if store.fleet.isActive(storeLags) {
		return store.lagged()
	}
	return &store.states[len(store.states)-1]
}

// lagged returns the state of a replica that lags.
func (store *virtualStore) lagged() *storeState {
	newest := len(store.states) - 1
	for now := store.fleet.clock.Now(); newest > 0 && now.Since(store.states[newest].at) < replicaLag; {
		newest--
	}
	return &store.states[newest]
}

func (store *virtualStore) watch(ctx context.Context, process *process, after catalog.Revision, wait clock.Milliseconds) (catalog.Changes, error) {
	store.countCall()
	began := store.fleet.clock.Now()
	end := began.Add(wait)
	for {
		if err := store.admit(ctx, process, began); err != nil {
			return catalog.Changes{}, err
		}
		store.fleet.mutex.Lock()
		changes, known := store.since(after)
		changed := store.changed
		store.fleet.mutex.Unlock()
		remaining := end.Since(store.fleet.clock.Now())
		switch {
		case !known:
			return changes, errors.CombineErrors(process.awaitCall(ctx, halfCallTime), catalog.ErrCompacted)
		case len(changes.Set)+len(changes.Removed) > 0 || remaining <= 0:
			return changes, process.awaitCall(ctx, halfCallTime)
		}
		waiting, cancel := context.WithTimeout(ctx, remaining.Duration())
		select {
		case <-changed:
		case <-waiting.Done():
		}
		cancel()
	}
}

// since returns the changes after a revision, and false if the store no longer has that revision.
func (store *virtualStore) since(after catalog.Revision) (catalog.Changes, bool) {
	state := store.visible()
	changes := catalog.Changes{Revision: max(state.revision, after)}
	if after < store.forgotten {
		return changes, false
	}
	before := storeState{}
	for _, known := range store.states {
		if known.revision == after {
			before = known
		}
	}
	if state.revision <= after {
		return changes, true
	}
	for _, key := range slices.Sorted(maps.Keys(state.items)) {
		item := state.items[key]
		if earlier, existed := before.items[key]; !existed || !sameItem(earlier, item) {
			changes.Set = append(changes.Set, item)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(before.items)) {
		if _, exists := state.items[key]; !exists {
			changes.Removed = append(changes.Removed, key)
		}
	}
	return changes, true
}

func sameItem(left, right catalog.Item) bool {
	return left.Server == right.Server && left.Configuration == right.Configuration && left.Evacuated == right.Evacuated
}

// expiredServer is a server whose entry has expired and which writes it again at backAt.
type expiredServer struct {
	server catalog.Server
	backAt clock.Moment
}

// expireServers removes the entries of servers that could not renew them, as the store does after it was down for long. The
// servers write them again within two seconds.
func (store *virtualStore) expireServers(now clock.Moment) {
	for index, server := range store.listed() {
		if server.State == catalog.ServerReady {
			store.write(catalog.ServerKey(server.Name), nil)
			store.expired = append(store.expired, expiredServer{server: server, backAt: now.Add(clock.Milliseconds(index * 317 % 2000))})
		}
	}
}

// renewServers writes the entries of expired servers again when they are due.
func (store *virtualStore) renewServers(now clock.Moment) {
	store.expired = slices.DeleteFunc(store.expired, func(expired expiredServer) bool {
		if now < expired.backAt {
			return false
		}
		store.write(catalog.ServerKey(expired.server.Name), &catalog.Item{Server: &expired.server})
		return true
	})
}
