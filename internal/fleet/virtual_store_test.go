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
	slowAnswer = 400 * clock.Millisecond
	lagOfCopy  = 1500 * clock.Millisecond
	// leaseOfServers is how long a server's entry stays while it can't be renewed.
	leaseOfServers = 3 * clock.Second
)

// virtualStore is a platform's store. All that it ever held is kept, so that an answer may be from a copy that lags. It is guarded by the
// fleet's mutex.
type virtualStore struct {
	fleet   *virtualFleet
	states  []storeState
	changed chan struct{}
	// refusing and harmed are when it last turned machines away, and when it last was down, slow or behind.
	refusing, harmed clock.Moment
	version          catalog.Version
	configuration    *catalog.Configuration
	forgotten        catalog.Revision
	servers          int
	lapsed           []lapsedServer
	// left is when servers became leaving, or were removed for good, while the store was stable.
	left map[settings.TargetName]clock.Moment
	// out is since when data centres are out.
	out map[settings.DataCentreName]clock.Moment
}

// storeState is all that the store held from a moment on.
type storeState struct {
	revision catalog.Revision
	at       clock.Moment
	items    map[catalog.Key]catalog.Item
}

var errStoreRefuses = errors.New("the store refuses")

func newVirtualStore(fleet *virtualFleet) *virtualStore {
	store := &virtualStore{
		fleet: fleet, changed: make(chan struct{}), left: map[settings.TargetName]clock.Moment{}, out: map[settings.DataCentreName]clock.Moment{},
		states: []storeState{{revision: 1, items: map[catalog.Key]catalog.Item{}}},
	}
	first := coldView(fleet.options.servers, fleet.options.dataCentres)
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

// write makes the next state. A nil item removes the key.
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
	server := coldView(store.servers+1, store.fleet.options.dataCentres).Servers[store.servers]
	store.servers++
	store.write(catalog.ServerKey(server.Name), &catalog.Item{Server: &server})
}

// held returns the servers that the newest state lists, by key.
func (store *virtualStore) held() []catalog.Server {
	items := store.states[len(store.states)-1].items
	var servers []catalog.Server
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if server := items[key].Server; server != nil {
			servers = append(servers, *server)
		}
	}
	return servers
}

// change gives a server another state, or removes it.
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

// setOut takes a data centre out, or back.
func (store *virtualStore) setOut(name settings.DataCentreName) {
	if _, out := store.out[name]; out {
		delete(store.out, name)
		store.write(catalog.EvacuationKey(name), nil)
		return
	}
	store.out[name] = store.fleet.clock.Now()
	store.write(catalog.EvacuationKey(name), &catalog.Item{Evacuated: name})
}

// stable reports whether the store was undisturbed for long enough.
func (store *virtualStore) stable(now clock.Moment) bool {
	return now.Since(max(store.refusing, store.harmed)) >= contactTime
}

// source is the store as a process reaches it.
func (store *virtualStore) source(process *process) catalog.Source {
	return catalog.Source{
		ReadAll:   func(ctx context.Context) (catalog.Snapshot, error) { return store.read(ctx, process, store.seen) },
		ReadStale: func(ctx context.Context) (catalog.Snapshot, error) { return store.read(ctx, process, store.old) },
		Watch: func(ctx context.Context, after catalog.Revision, wait clock.Milliseconds) (catalog.Changes, error) {
			return store.watch(ctx, process, after, wait)
		},
	}
}

// read answers with all of a state.
func (store *virtualStore) read(ctx context.Context, process *process, choose func() *storeState) (catalog.Snapshot, error) {
	if err := store.admit(ctx, process); err != nil {
		return catalog.Snapshot{}, err
	}
	store.fleet.mutex.Lock()
	state := choose()
	store.fleet.mutex.Unlock()
	snapshot := catalog.Snapshot{Revision: state.revision}
	for _, key := range slices.Sorted(maps.Keys(state.items)) {
		snapshot.Items = append(snapshot.Items, state.items[key])
	}
	return snapshot, process.pass(ctx, callTime)
}

// admit takes a call, or refuses it, or lets it hang.
func (store *virtualStore) admit(ctx context.Context, process *process) error {
	if err := process.pass(ctx, callTime); err != nil {
		return err
	}
	store.fleet.mutex.Lock()
	end := store.fleet.wire.ends[process.machine.number]
	hangs, slow := end.storeOff || store.fleet.lasting(storeDown), store.fleet.lasting(storeSlow)
	store.fleet.mutex.Unlock()
	switch {
	case hangs:
		<-ctx.Done()
		return errors.CombineErrors(process.pass(ctx, 0), ctx.Err())
	case end.storeRefuses:
		return errors.CombineErrors(process.pass(ctx, callTime), errStoreRefuses)
	case slow:
		return process.pass(ctx, slowAnswer)
	default:
		return nil
	}
}

// seen is the state from which the store answers.
func (store *virtualStore) seen() *storeState {
	if store.fleet.lasting(storeLags) {
		return store.old()
	}
	return &store.states[len(store.states)-1]
}

// old is the state of a copy that lags.
func (store *virtualStore) old() *storeState {
	newest := len(store.states) - 1
	for now := store.fleet.clock.Now(); newest > 0 && now.Since(store.states[newest].at) < lagOfCopy; {
		newest--
	}
	return &store.states[newest]
}

func (store *virtualStore) watch(ctx context.Context, process *process, after catalog.Revision, wait clock.Milliseconds) (catalog.Changes, error) {
	end := store.fleet.clock.Now().Add(wait)
	for {
		if err := store.admit(ctx, process); err != nil {
			return catalog.Changes{}, err
		}
		store.fleet.mutex.Lock()
		changes, known := store.since(after)
		changed := store.changed
		store.fleet.mutex.Unlock()
		left := end.Since(store.fleet.clock.Now())
		switch {
		case !known:
			return changes, errors.CombineErrors(process.pass(ctx, callTime), catalog.ErrCompacted)
		case len(changes.Set)+len(changes.Removed) > 0 || left <= 0:
			return changes, process.pass(ctx, callTime)
		}
		waiting, cancel := context.WithTimeout(ctx, left.Duration())
		select {
		case <-changed:
		case <-waiting.Done():
		}
		cancel()
	}
}

// since returns what has changed after a revision, if that is known.
func (store *virtualStore) since(after catalog.Revision) (catalog.Changes, bool) {
	state := store.seen()
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
		if was, held := before.items[key]; !held || !same(was, item) {
			changes.Set = append(changes.Set, item)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(before.items)) {
		if _, held := state.items[key]; !held {
			changes.Removed = append(changes.Removed, key)
		}
	}
	return changes, true
}

func same(left, right catalog.Item) bool {
	return left.Server == right.Server && left.Configuration == right.Configuration && left.Evacuated == right.Evacuated
}

// lapsedServer is a server whose entry has lapsed and that writes it anew.
type lapsedServer struct {
	server catalog.Server
	backAt clock.Moment
}

// lapse removes the entries of servers that could not renew them, as the store does after it was away for long. They are back within
// two seconds.
func (store *virtualStore) lapse(now clock.Moment) {
	for index, server := range store.held() {
		if server.State == catalog.ServerReady {
			store.write(catalog.ServerKey(server.Name), nil)
			store.lapsed = append(store.lapsed, lapsedServer{server: server, backAt: now.Add(clock.Milliseconds(index * 317 % 2000))})
		}
	}
}

// renew has servers write their entries anew.
func (store *virtualStore) renew(now clock.Moment) {
	store.lapsed = slices.DeleteFunc(store.lapsed, func(lapsed lapsedServer) bool {
		if now < lapsed.backAt {
			return false
		}
		store.write(catalog.ServerKey(lapsed.server.Name), &catalog.Item{Server: &lapsed.server})
		return true
	})
}
