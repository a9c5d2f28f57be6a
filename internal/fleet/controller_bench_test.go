package fleet

import (
	"fmt"
	"testing"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// BenchmarkStandbySecond measures one second of a standby instance, which should cost next to nothing in a fleet of any size. There are ten
// backend servers for each instance.
func BenchmarkStandbySecond(b *testing.B) {
	for _, instances := range []int{30, 100, 300, 600, 1200} {
		b.Run(fmt.Sprintf("%d instances", instances), func(b *testing.B) {
			fixture := newStandbyFixture(b, instances, 10*instances)
			b.ReportAllocs()
			for b.Loop() {
				fixture.advanceSecond()
			}
		})
	}
}

// BenchmarkPublish measures the computation of routes, owners and targets, which a new configuration needs.
func BenchmarkPublish(b *testing.B) {
	for _, servers := range []int{318, 3000, 6000, 12_000} {
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			fixture := newStandbyFixture(b, 100, servers)
			b.ReportAllocs()
			for b.Loop() {
				fixture.controller.publish()
			}
		})
	}
}

// BenchmarkChangeServer measures a change of one backend server, which every instance applies, on standby and serving. The server is in the
// data centre of the serving instance, which computes the owners of its servers.
func BenchmarkChangeServer(b *testing.B) {
	for _, serving := range []bool{false, true} {
		for _, servers := range []int{3000, 6000, 12_000} {
			b.Run(fmt.Sprintf("serving %t, %d servers", serving, servers), func(b *testing.B) {
				fixture := newStandbyFixture(b, 600, servers)
				if serving {
					fixture = newServingFixture(b, 600, servers)
				}
				b.ReportAllocs()
				for b.Loop() {
					next := *fixture.controller.view
					next.Revision++
					changed := *next.Servers.Find(targetName(8))
					changed.Started++
					next.Servers = next.Servers.Edit(catalog.ServerEdits{changed.Name: &changed})
					fixture.controller.applyView(&next)
				}
			})
		}
	}
}

// BenchmarkReceiveReadings measures the receipt of one load reading of a serving peer, decoding included. A serving instance receives those
// of all backend servers of the fleet that it does not own.
func BenchmarkReceiveReadings(b *testing.B) {
	for _, servers := range []int{300, 3000, 6000, 12_000} {
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			fixture := newServingFixture(b, 600, servers)
			var datagrams [][]byte
			var names []settings.TargetName
			for server := range fixture.controller.view.Servers.All() {
				if !fixture.controller.owned[server.Name] {
					names = append(names, server.Name)
				}
			}
			for start := 0; start < len(names); start += maxReadingsPerDatagram {
				message := &Message{}
				for index, name := range names[start:min(start+maxReadingsPerDatagram, len(names))] {
					message.Readings = append(message.Readings, SharedReading{
						Target: keyOf(name), Running: uint16(index % 5), Slots: 6, SlowdownPercent: uint16(100 + index%2*200), ColdMs: unknownCold,
					})
				}
				datagram, err := Encode(message)
				if err != nil {
					b.Fatal(err)
				}
				datagrams = append(datagrams, datagram)
			}
			b.ReportAllocs()
			for count := 0; b.Loop(); count++ {
				if count%maxReadingsPerDatagram != 0 {
					continue
				}
				fixture.advance(clock.Millisecond)
				message, err := Decode(datagrams[count/maxReadingsPerDatagram%len(datagrams)])
				if err != nil {
					b.Fatal(err)
				}
				fixture.controller.receiveMessage(message)
			}
		})
	}
}
