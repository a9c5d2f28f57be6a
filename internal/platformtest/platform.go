// Package platformtest has a small stand-in for the users' platform: a configuration service and a list of instances,
// both readable and watchable over HTTP, and both able to fail as the real ones do.
//
// # Usage
//
//	stand := platformtest.New()
//	stand.Publish("site", text)
//	stand.SetInstance(platform.Instance{...})
//	server := httptest.NewServer(stand)
//	stand.SetFault(platformtest.FaultDown)
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

// Fault is a way in which the platform fails.
type Fault int32

// The faults that the stand-in can show.
const (
	// FaultNone answers rightly.
	FaultNone Fault = iota
	// FaultDown answers 503.
	FaultDown
	// FaultGarbage answers text that is no JSON.
	FaultGarbage
	// FaultStale answers with what was there when the fault began, and at once.
	FaultStale
	// FaultEmpty answers with empty collections and a high index.
	FaultEmpty
)

// Platform is the stand-in. It implements http.Handler and is safe for concurrent use.
type Platform struct {
	mutex     sync.Mutex
	changed   chan struct{}
	values    map[string]value
	keyIndex  platform.Index
	instances map[string]platform.Instance
	listIndex platform.Index
	fault     Fault
	staleKeys platform.Keys
	staleList platform.InstanceList

	reads atomic.Int64
}

type value struct {
	text  []byte
	index platform.Index
}

// New returns a stand-in that holds nothing.
func New() *Platform {
	return &Platform{changed: make(chan struct{}), values: map[string]value{}, instances: map[string]platform.Instance{}}
}

// Publish sets a document, as operators do.
func (stand *Platform) Publish(key string, text []byte) {
	stand.change(func() {
		stand.keyIndex++
		stand.values[key] = value{text: slices.Clone(text), index: stand.keyIndex}
	})
}

// SetInstance adds an instance or changes it.
func (stand *Platform) SetInstance(instance platform.Instance) {
	stand.change(func() {
		stand.listIndex++
		stand.instances[instance.Name] = instance
	})
}

// RemoveInstance takes an instance off the list.
func (stand *Platform) RemoveInstance(name string) {
	stand.change(func() {
		stand.listIndex++
		delete(stand.instances, name)
	})
}

// SetFault makes the platform fail, or work again.
func (stand *Platform) SetFault(fault Fault) {
	stand.change(func() {
		stand.staleKeys = stand.keys()
		stand.staleList = stand.list()
		stand.fault = fault
	})
}

// Reads returns the number of calls so far, a waiting watch counted as one.
func (stand *Platform) Reads() int64 {
	return stand.reads.Load()
}

// change applies an action and wakes every watch.
func (stand *Platform) change(action func()) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	action()
	close(stand.changed)
	stand.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (stand *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	stand.reads.Add(1)
	switch {
	case stand.failed(writer):
	case request.URL.Path == platform.KeysPath:
		stand.watch(writer, request, func() (platform.Index, any) {
			keys := stand.keys()
			return keys.Index, keys
		})
	case request.URL.Path == platform.InstancesPath:
		stand.watch(writer, request, func() (platform.Index, any) {
			list := stand.list()
			return list.Index, list
		})
	default:
		stand.serveValue(writer, request)
	}
}

// failed answers as the current fault says, if there is one that does not depend on what was asked.
func (stand *Platform) failed(writer http.ResponseWriter) bool {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	switch stand.fault {
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

func (stand *Platform) serveValue(writer http.ResponseWriter, request *http.Request) {
	key, found := strings.CutPrefix(request.URL.Path, platform.ValuesPath)
	stand.mutex.Lock()
	held, known := stand.values[key]
	stand.mutex.Unlock()
	if !found || !known {
		http.NotFound(writer, request)
		return
	}
	_, _ = writer.Write(held.text)
}

// watch answers once the collection's index is above the one that was asked for.
func (stand *Platform) watch(writer http.ResponseWriter, request *http.Request, read func() (platform.Index, any)) {
	query := request.URL.Query()
	after, afterErr := strconv.ParseUint(query.Get(platform.AfterParameter), 10, 64)
	wait, waitErr := strconv.ParseInt(query.Get(platform.WaitParameter), 10, 64)
	if afterErr != nil || waitErr != nil {
		http.Error(writer, "after and waitMs are whole numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		stand.mutex.Lock()
		index, answer := read()
		changed := stand.changed
		stand.mutex.Unlock()
		if index > platform.Index(after) {
			writeJSON(writer, answer)
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
	stand.mutex.Lock()
	_, answer := read()
	stand.mutex.Unlock()
	writeJSON(writer, answer)
}

func writeJSON(writer http.ResponseWriter, answer any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(answer)
}

func (stand *Platform) keys() platform.Keys {
	if stand.fault == FaultStale {
		return stand.staleKeys
	}
	keys := platform.Keys{Index: stand.keyIndex, Keys: map[string]platform.Index{}}
	for key, held := range stand.values {
		keys.Keys[key] = held.index
	}
	return keys
}

func (stand *Platform) list() platform.InstanceList {
	if stand.fault == FaultStale {
		return stand.staleList
	}
	list := platform.InstanceList{Index: stand.listIndex, Instances: []platform.Instance{}}
	for _, name := range slices.Sorted(maps.Keys(stand.instances)) {
		list.Instances = append(list.Instances, stand.instances[name])
	}
	return list
}
