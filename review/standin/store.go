package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store, which can be read and watched.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeEvent
	changed  chan struct{}
}

type storeItem struct {
	value []byte
	rev   uint64
}

type storeEvent struct {
	key     string
	value   []byte
	removed bool
	rev     uint64
}

func newStore() *store {
	return &store{revision: 10, items: map[string]storeItem{}, changed: make(chan struct{})}
}

func (store *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		fail("entry %s: %v", key, err)
	}
	store.apply(storeEvent{key: key, value: text})
}

func (store *store) remove(key string) {
	store.apply(storeEvent{key: key, removed: true})
}

func (store *store) apply(event storeEvent) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	event.rev = store.revision
	if event.removed {
		delete(store.items, event.key)
	} else {
		store.items[event.key] = storeItem{value: event.value, rev: event.rev}
	}
	store.events = append(store.events, event)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) listen(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fail("store: %v", err)
	}
	go func() { _ = http.Serve(listener, store) }()
}

// ServeHTTP implements http.Handler.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	query := request.URL.Query()
	switch request.URL.Path {
	case "/jaywheel/kv-key":
		store.serveKey(writer, query.Get("key"))
	case "/jaywheel/kv-range":
		store.serveRange(writer, query.Get("prefix"), query.Get("after"))
	case "/jaywheel/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		store.serveWatch(writer, request, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *store) serveKey(writer http.ResponseWriter, key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	item, found := store.items[key]
	if !found {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	answer := wireItem(key, item)
	answer["store_revision"] = store.revision
	_ = json.NewEncoder(writer).Encode(answer)
}

func wireItem(key string, item storeItem) map[string]any {
	return map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(item.value), "rev": item.rev, "create_rev": item.rev, "lease": 0}
}

// pageItems is the largest number of items on a page.
const pageItems = 500

func (store *store) serveRange(writer http.ResponseWriter, prefix, after string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []any{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, wireItem(key, store.items[key]))
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"items": items, "truncated": len(keys) > pageItems, "store_revision": store.revision})
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		store.mutex.Lock()
		events := []any{}
		for _, event := range store.events {
			if event.rev <= after || !strings.HasPrefix(event.key, prefix) {
				continue
			}
			if event.removed {
				events = append(events, map[string]any{"key": event.key, "rev": event.rev, "removed": true})
			} else {
				events = append(events, wireItem(event.key, storeItem{value: event.value, rev: event.rev}))
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		ended := len(events) > 0
		if !ended {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-request.Context().Done():
				return
			}
		}
		_ = json.NewEncoder(writer).Encode(map[string]any{"events": events, "store_revision": revision})
		return
	}
}
