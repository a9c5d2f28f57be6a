// Package platformtest provides a fake of the platform's services for tests: a configuration service and a list of instances,
// which can be read and watched over HTTP and can fail like the real ones.
//
// # Usage
//
//	fake := platformtest.New()
//	fake.Publish("site", text)
//	fake.SetInstance(platform.Instance{...})
//	server := httptest.NewServer(fake)
//	fake.SetFault(platformtest.FaultDown)
package platformtest

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaywheel/jaywheel/internal/platform"
)

// Fault is a failure mode of the platform.
type Fault int32

// The faults that the fake can simulate.
const (
	// FaultNone responds correctly.
	FaultNone Fault = iota
	// FaultDown responds with status 503.
	FaultDown
	// FaultGarbage responds with invalid JSON.
	FaultGarbage
	// FaultStale responds to watches with the keys and the list of instances from when the fault began. Reads of a document
	// return its current text.
	FaultStale
	// FaultEmpty responds with empty collections and a high index.
	FaultEmpty
)

// Platform is the fake. It implements http.Handler and is safe for concurrent use.
type Platform struct {
	mutex     sync.Mutex
	changed   chan struct{}
	documents map[string]document
	keyIndex  platform.Index
	instances map[string]platform.Instance
	listIndex platform.Index
	fault     Fault
	staleKeys platform.Keys
	staleList platform.InstanceList

	reads atomic.Int64
}

type document struct {
	text  []byte
	index platform.Index
}

// New returns a fake without documents and instances.
func New() *Platform {
	return &Platform{changed: make(chan struct{}), documents: map[string]document{}, instances: map[string]platform.Instance{}}
}

// Publish adds or replaces a document, as an operator does.
func (fake *Platform) Publish(key string, text []byte) {
	fake.change(func() {
		fake.keyIndex++
		fake.documents[key] = document{text: slices.Clone(text), index: fake.keyIndex}
	})
}

// SetInstance adds or replaces an instance.
func (fake *Platform) SetInstance(instance platform.Instance) {
	fake.change(func() {
		fake.listIndex++
		fake.instances[instance.Name] = instance
	})
}

// RemoveInstance removes an instance from the list.
func (fake *Platform) RemoveInstance(name string) {
	fake.change(func() {
		fake.listIndex++
		delete(fake.instances, name)
	})
}

// SetFault sets the fault that the fake simulates. FaultNone ends it.
func (fake *Platform) SetFault(fault Fault) {
	fake.change(func() {
		fake.staleKeys = fake.keys()
		fake.staleList = fake.list()
		fake.fault = fault
	})
}

// Reads returns the number of requests so far. A watch counts as one, however long it waits.
func (fake *Platform) Reads() int64 {
	return fake.reads.Load()
}

// change applies an action under the lock and wakes all watches.
func (fake *Platform) change(action func()) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	action()
	close(fake.changed)
	fake.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (fake *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	fake.reads.Add(1)
	switch {
	case fake.serveFault(writer):
	case request.URL.Path == platform.KeysPath:
		fake.watch(writer, request, func() (platform.Index, any) {
			keys := fake.keys()
			return keys.Index, keys
		})
	case request.URL.Path == platform.InstancesPath:
		fake.watch(writer, request, func() (platform.Index, any) {
			list := fake.list()
			return list.Index, list
		})
	default:
		fake.serveValue(writer, request)
	}
}

// serveFault responds to the request and returns true if the current fault is the same for all paths.
func (fake *Platform) serveFault(writer http.ResponseWriter) bool {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	switch fake.fault {
	case FaultDown:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return true
	case FaultGarbage:
		_, _ = writer.Write([]byte(`{"index": 99999999, "keys": <<<`))
		return true
	case FaultEmpty:
		_, _ = writer.Write([]byte(`{"index": 99999999, "keys": {}, "instances": []}`))
		return true
	default:
		return false
	}
}

func (fake *Platform) serveValue(writer http.ResponseWriter, request *http.Request) {
	key, found := strings.CutPrefix(request.URL.Path, platform.ValuesPath)
	fake.mutex.Lock()
	stored, known := fake.documents[key]
	fake.mutex.Unlock()
	if !found || !known {
		http.NotFound(writer, request)
		return
	}
	_, _ = writer.Write(stored.text)
}

// watch responds once the collection's index is above the one in the request, or when the wait is over.
func (fake *Platform) watch(writer http.ResponseWriter, request *http.Request, read func() (platform.Index, any)) {
	query := request.URL.Query()
	after, afterErr := strconv.ParseUint(query.Get(platform.AfterParameter), 10, 64)
	wait, waitErr := strconv.ParseInt(query.Get(platform.WaitParameter), 10, 64)
	if afterErr != nil || waitErr != nil {
		http.Error(writer, "after and waitMs must be integers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		fake.mutex.Lock()
		index, response := read()
		changed := fake.changed
		fake.mutex.Unlock()
		if index > platform.Index(after) {
			writeJSON(writer, response)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
	fake.mutex.Lock()
	_, response := read()
	fake.mutex.Unlock()
	writeJSON(writer, response)
}

func writeJSON(writer http.ResponseWriter, response any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(response)
}

func (fake *Platform) keys() platform.Keys {
	if fake.fault == FaultStale {
		return fake.staleKeys
	}
	keys := platform.Keys{Index: fake.keyIndex, Keys: map[string]platform.Index{}}
	for key, stored := range fake.documents {
		keys.Keys[key] = stored.index
	}
	return keys
}

func (fake *Platform) list() platform.InstanceList {
	if fake.fault == FaultStale {
		return fake.staleList
	}
	list := platform.InstanceList{Index: fake.listIndex, Instances: []platform.Instance{}}
	for _, name := range slices.Sorted(maps.Keys(fake.instances)) {
		list.Instances = append(list.Instances, fake.instances[name])
	}
	return list
}
