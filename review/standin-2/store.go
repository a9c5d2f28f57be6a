//go:build review2

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

// store is a stand-in of the platform's store, with the two calls that the program makes.
type store struct {
	address string

	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

type item struct {
	key     string
	value   []byte
	rev     uint64
	removed bool
}

func (item *item) wire() map[string]any {
	if item.removed {
		return map[string]any{"key": item.key, "rev": item.rev, "removed": true}
	}
	return map[string]any{
		"key": item.key, "value": base64.StdEncoding.EncodeToString(item.value), "rev": item.rev, "create_rev": item.rev, "lease": 0,
	}
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := &store{address: listener.Addr().String(), revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /jaywheel/kv-range", store.serveRange)
	mux.HandleFunc("GET /jaywheel/kv-watch", store.serveWatch)
	go func() { _ = http.Serve(listener, mux) }()
	return store, nil
}

func (store *store) put(key string, value any) {
	text, _ := json.Marshal(value)
	store.change(item{key: key, value: text})
}

func (store *store) change(change item) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	change.rev = store.revision
	if change.removed {
		delete(store.items, change.key)
	} else {
		store.items[change.key] = change
	}
	store.events = append(store.events, change)
	close(store.changed)
	store.changed = make(chan struct{})
}

// maxPageItems and maxPageBytes limit a page.
const (
	maxPageItems = 500
	maxPageBytes = 1_000_000
)

func (store *store) serveRange(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	prefix, after := request.URL.Query().Get("prefix"), request.URL.Query().Get("after")
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []any{}, 0
	for _, key := range keys {
		found := store.items[key]
		if len(items) == maxPageItems || len(items) > 0 && size+len(found.value) > maxPageBytes {
			break
		}
		size += len(found.value)
		items = append(items, found.wire())
	}
	writeJSON(writer, map[string]any{"items": items, "truncated": len(items) < len(keys), "store_revision": store.revision})
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.mutex.Lock()
		events := []any{}
		for index := range store.events {
			if event := &store.events[index]; event.rev > after && strings.HasPrefix(event.key, query.Get("prefix")) {
				events = append(events, event.wire())
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		if len(events) > 0 {
			writeJSON(writer, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(writer, map[string]any{"events": events, "store_revision": revision})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeout float64) map[string]any {
	return map[string]any{"resource_type": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"host": hostName, "prefix": prefix, "type": kind, "timeout_s": timeout, "aim_s": 0.8, "priority": 1, "service": service, "max_attempts": 2,
	}}
}

// service returns a service of the configuration.
func service(name string) map[string]any {
	return map[string]any{"resource_type": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"health_check_path": "/health", "max_connections": 220, "warmup_s": 3.0, "warmup_per_s": 7.2,
	}}
}

// hostName is the host of all routes.
const hostName = "shift3.example"

// configuration returns a configuration with the given routes and services.
func configuration(version int, resources ...any) map[string]any {
	resources = append(resources, map[string]any{"resource_type": "limits", "metadata": map[string]any{"name": "limits"}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 5.0, "idle_timeout_s": 15.0,
	}})
	text := strconv.FormatInt(int64(version), 16)
	return map[string]any{"version": strings.Repeat("0", 8-len(text)) + text, "resources": resources}
}
