package control

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/instance"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/platform"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// sizes are the fleet sizes of the benchmarks; the last is the size that the design aims at.
var sizes = []struct{ services, targetsPerService, peers int }{
	{3, 12, 14}, {14, 22, 14}, {42, 22, 14}, {42, 22, 59},
}

// newSized returns a controller for a fleet of the given size with only warm targets.
func newSized(b *testing.B, services, targetsPerService, peers int, send func(netip.AddrPort, instance.Heartbeat)) (*Controller, *clock.Manual) {
	loaded, err := settings.LoadSite("../../examples/rodopa.base.json", "")
	if err != nil {
		b.Fatal(err)
	}
	site := loaded.Site
	template := site.Services["browsing"]
	site.Services = map[settings.ServiceName]settings.Service{}
	manual := clock.NewManual()
	controller := NewController(Options{
		Name: "entry-0", DataCentre: "sofia-1", Incarnation: 1, Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1)),
		Servers: backendserver.NewServers(&manual.Clock), Registry: metrics.NewRegistry(), Log: zerolog.Nop(),
		Send: send, RequestReport: func(ReportRequest) bool { return true },
	})
	list := platform.InstanceList{}
	for number := range peers + 1 {
		list.Instances = append(list.Instances, platform.Instance{
			Name: fmt.Sprintf("entry-%d", number), Kind: platform.KindEntry, State: platform.StateLive, DataCentre: dataCentreOf(number),
			Address: fmt.Sprintf("10.1.0.%d:80", number), PeerAddress: fmt.Sprintf("10.1.0.%d:81", number),
		})
	}
	for number := range services {
		name := settings.ServiceName(fmt.Sprintf("service-%d", number))
		service := template
		service.Hosts = []string{string(name) + ".example"}
		site.Services[name] = service
		for target := range targetsPerService {
			list.Instances = append(list.Instances, platform.Instance{
				Name: fmt.Sprintf("%s-%d", name, target), Kind: platform.KindBackendServer, State: platform.StateLive, Service: name,
				DataCentre: dataCentreOf(target), Address: fmt.Sprintf("10.2.%d.%d:80", number, target),
			})
		}
	}
	documents, err := site.Documents()
	if err != nil {
		b.Fatal(err)
	}
	for _, document := range documents {
		documentRead{key: document.Key, text: document.Text}.apply(controller)
	}
	listRead{list: list}.apply(controller)
	for _, state := range controller.services {
		for _, target := range state.targets {
			target.phase = phaseWarm
		}
	}
	return controller, manual
}

// BenchmarkControlSecond measures the work of the control goroutine in one second without changes: 40 ticks, 4 rounds of
// sent heartbeats, and 4 heartbeats received from each peer.
func BenchmarkControlSecond(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("targets=%d/peers=%d", size.services*size.targetsPerService, size.peers), func(b *testing.B) {
			var sent int
			var last instance.Heartbeat
			controller, manual := newSized(b, size.services, size.targetsPerService, size.peers, func(_ netip.AddrPort, heartbeat instance.Heartbeat) {
				sent++
				last = heartbeat
			})
			sequence := instance.Sequence(0)
			b.ReportAllocs()
			for b.Loop() {
				for step := range 40 {
					manual.Advance(tickInterval)
					controller.tick()
					if step%10 != 0 {
						continue
					}
					sequence++
					for peer := range size.peers {
						received := last
						received.From = settings.InstanceName(fmt.Sprintf("entry-%d", peer+1))
						received.Sequence = sequence
						heartbeatReceived{heartbeat: received}.apply(controller)
					}
				}
			}
			b.ReportMetric(float64(sent)/float64(b.N), "datagrams/op")
		})
	}
}

// BenchmarkPublish measures the publishing of a new routing table.
func BenchmarkPublish(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("targets=%d/peers=%d", size.services*size.targetsPerService, size.peers), func(b *testing.B) {
			controller, _ := newSized(b, size.services, size.targetsPerService, size.peers, func(netip.AddrPort, instance.Heartbeat) {})
			for b.Loop() {
				controller.publish()
			}
		})
	}
}

// BenchmarkControlMemory reports the heap memory of a controller with its dispatchers and connection pools.
func BenchmarkControlMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("targets=%d/peers=%d", size.services*size.targetsPerService, size.peers), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				controller, _ := newSized(b, size.services, size.targetsPerService, size.peers, func(netip.AddrPort, instance.Heartbeat) {})
				b.ReportMetric(float64(heap()-before), "B")
				runtime.KeepAlive(controller)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
