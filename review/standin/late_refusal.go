package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// lateRefusal: the targets of a service for payments refuse a part of their requests, as not run. Some of them send, for 5 s at a time, a
// second copy of a few of these refusals, late: where the next answer on the connection is expected. The copy bears the id of the refused
// request. Without the trouble, they refuse as often but send no copies.
func lateRefusal(binary string, trouble bool) (bool, string) {
	const (
		shedShare   = 0.45
		garbleShare = 0.03
		playFor     = 80 * time.Second
		troubleAt   = 5 * time.Second
		lasts       = 5 * time.Second
		again       = 10 * time.Second
		perSecond   = 240
	)
	deployment := newDeployment(binary, []string{"sofia-a", "sofia-b", "sofia-c"})
	defer deployment.close()
	runs := &runCounter{runs: map[string][]string{}}
	copies := 0
	began := time.Now()
	inTrouble := func() bool {
		since := time.Since(began) - troubleAt
		return trouble && since > 0 && since%again < lasts
	}
	var mutex sync.Mutex
	for index := range 5 {
		server := &target{id: fmt.Sprintf("i-%08x", 0x5a0+index), service: "desk", zone: deployment.zones[index%3], slots: 6, work: 25 * time.Millisecond}
		faulty := index < 3
		server.behave = func(exchange *exchange) bool {
			if rand.Float64() < shedShare {
				refusal := exchange.rejection()
				record("refused", exchange.id, server.id)
				_, _ = exchange.connection.Write(refusal)
				if faulty && inTrouble() && rand.Float64() < garbleShare {
					record("copy of the refusal is sent later", exchange.id, server.id)
					*exchange.late = refusal
					mutex.Lock()
					copies++
					mutex.Unlock()
				}
				return true
			}
			runs.add(exchange.id, server.id)
			exchange.run()
			return exchange.answer()
		}
		deployment.addTarget(server)
	}
	deployment.store.put("op/config", configuration(5, []map[string]any{route("/pay/", "unsafe", "desk", 1.2)}, "desk"))
	deployment.startAll()
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	var promised []string
	clients := []*client{}
	for _, zone := range deployment.zones {
		clients = append(clients, newClient(deployment, zone))
	}
	sent := 0
	for started := time.Now(); time.Since(started) < playFor; time.Sleep(time.Second / perSecond) {
		caller := clients[sent%len(clients)]
		sent++
		group.Go(func() {
			result := caller.send("POST", "/pay/", []byte("one fee"), 1500*time.Millisecond)
			if result.err == nil && (result.status == 503 || result.status == 429) {
				mutex.Lock()
				promised = append(promised, result.id)
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	twice, refused := 0, 0
	for id, servers := range runs.runs {
		if len(servers) > 1 {
			twice++
			record("RAN TWICE", id, fmt.Sprint(servers))
		}
	}
	for _, id := range promised {
		if len(runs.runs[id]) > 0 {
			refused++
			record("REFUSED BUT RUN", id, fmt.Sprint(runs.runs[id]))
		}
	}
	return twice+refused > 0, fmt.Sprintf("%d requests sent, %d late copies of refusals, %d requests ran more than once, %d were answered 503 or 429 and had run",
		sent, copies, twice, refused)
}

// runCounter keeps at which targets a request ran.
type runCounter struct {
	mutex sync.Mutex
	runs  map[string][]string
}

func (counter *runCounter) add(id, target string) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.runs[id] = append(counter.runs[id], target)
}
