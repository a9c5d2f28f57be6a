package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// memoryMost is memory_mb of the deployment; the platform kills a process that exceeds it.
const memoryMost = 284 << 20

// endlessHead: one target of a service answers a part of its requests, for some seconds, with a head without end. Requests of another
// service, whose targets are sound, are in progress meanwhile on kept connections.
func endlessHead(binary string, trouble bool) (bool, string) {
	const (
		playFor   = 75 * time.Second
		perSecond = 480
		troubleAt = 5 * time.Second
		lasts     = 5 * time.Second
		again     = 10 * time.Second
		// spoilt is the share of the answers that the target spoils.
		spoilt = 0.1
		// lostMost is the number of requests that the rule allows to be lost.
		lostMost = 3
	)
	deployment := newDeployment(binary, []string{"sofia-a", "sofia-b", "sofia-c"})
	defer deployment.close()
	var heads atomic.Int64
	var started atomic.Pointer[time.Time]
	inTrouble := func() bool {
		from := started.Load()
		return trouble && from != nil && time.Since(*from) > troubleAt && (time.Since(*from)-troubleAt)%again < lasts
	}
	for index := range 10 {
		server := &target{id: fmt.Sprintf("i-%08x", 0x6a0+index), service: "desk", zone: deployment.zones[index%3], slots: 6, work: 120 * time.Millisecond}
		faulty := index%5 < 3
		server.behave = func(exchange *exchange) bool {
			if !faulty || !inTrouble() || rand.Float64() >= spoilt {
				return false
			}
			heads.Add(1)
			record("head without end", exchange.id, server.id)
			record("it ended", exchange.id, fmt.Sprintf("%d bytes", exchange.writeEndless()))
			exchange.connection.Close()
			exchange.connection = nil
			return true
		}
		deployment.addTarget(server)
	}
	runs := &runCounter{runs: map[string][]string{}}
	for index := range 8 {
		server := &target{id: fmt.Sprintf("i-%08x", 0x7a0+index), service: "catalogue", zone: deployment.zones[index%3], slots: 6, work: 150 * time.Millisecond}
		server.behave = func(exchange *exchange) bool {
			runs.add(exchange.id, server.id)
			return false
		}
		deployment.addTarget(server)
	}
	deployment.store.put("op/config", configuration(5, []map[string]any{
		route("/look/", "safe", "catalogue", 1.2), route("/pay/", "unsafe", "desk", 0.8),
	}, "catalogue", "desk"))
	deployment.startAll()
	time.Sleep(3 * time.Second)
	watch := newMemoryWatch(deployment)
	var group sync.WaitGroup
	clients := []*client{}
	for _, zone := range deployment.zones {
		clients = append(clients, newClient(deployment, zone))
	}
	sent := 0
	var mutex sync.Mutex
	var unanswered []answer
	now := time.Now()
	started.Store(&now)
	for time.Since(now) < playFor {
		caller := clients[sent%len(clients)]
		sent++
		pays := sent%3 != 0
		group.Go(func() {
			if pays {
				caller.send("POST", "/pay/", []byte("one fee"), 1500*time.Millisecond)
				return
			}
			// The connection ended before the client's deadline.
			result := caller.send("GET", "/look/", nil, 1200*time.Millisecond)
			if result.err != nil && result.ended.Sub(result.sent) < 1100*time.Millisecond {
				mutex.Lock()
				unanswered = append(unanswered, result)
				mutex.Unlock()
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	group.Wait()
	watch.stop()
	lost := 0
	for index := range unanswered {
		if result := &unanswered[index]; result.kept && len(runs.runs[result.id]) > 0 {
			lost++
			record("LOST", result.id, "sent to "+result.address, "run by", fmt.Sprint(runs.runs[result.id]))
		}
	}
	return lost > lostMost, fmt.Sprintf("%d requests sent, %d heads without end, peak %d MB, %d processes ended for their memory, %d requests from kept connections passed on to sound targets and not answered",
		sent, heads.Load(), watch.peak.Load()>>20, watch.kills.Load(), lost)
}

// memoryWatch kills a process that exceeds its memory, as the platform does.
type memoryWatch struct {
	peak, kills atomic.Int64
	done        chan struct{}
}

func newMemoryWatch(deployment *deployment) *memoryWatch {
	watch := &memoryWatch{done: make(chan struct{})}
	for _, instance := range deployment.instances {
		go watch.follow(instance)
	}
	return watch
}

func (watch *memoryWatch) stop() {
	close(watch.done)
}

func (watch *memoryWatch) follow(instance *instance) {
	for {
		select {
		case <-watch.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := instance.memory()
		if used > watch.peak.Load() {
			watch.peak.Store(used)
		}
		if used > memoryMost {
			record("over its memory, killed", instance.name, fmt.Sprintf("%d MB", used>>20))
			watch.kills.Add(1)
			instance.signal(os.Kill)
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// linkBytesPerSecond is the rate of a link of 1000 Mbit/s. All heads without end share one.
const linkBytesPerSecond = 125e6

var link struct {
	mutex sync.Mutex
	free  time.Time
}

// useLink waits until the link has carried the bytes.
func useLink(count int) {
	link.mutex.Lock()
	if now := time.Now(); link.free.Before(now) {
		link.free = now
	}
	link.free = link.free.Add(time.Duration(float64(count) / linkBytesPerSecond * float64(time.Second)))
	until := link.free
	link.mutex.Unlock()
	time.Sleep(time.Until(until))
}

// writeEndless writes a head that does not end, until the other side closes, and returns its length.
func (exchange *exchange) writeEndless() int {
	written, err := exchange.connection.Write([]byte("HTTP/1.1 200 OK\r\n"))
	for err == nil {
		var chunk []byte
		for len(chunk) < 16<<10 {
			chunk = fmt.Appendf(chunk, "%x:%x\r\n", rand.Uint32()>>8, rand.IntN(16))
		}
		useLink(len(chunk))
		count := 0
		count, err = exchange.connection.Write(chunk)
		written += count
	}
	return written
}
