package membership

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// BenchmarkServingSecond measures one second of a serving instance in which one other instance is restarted, so that its heartbeats contain
// summaries.
func BenchmarkServingSecond(b *testing.B) {
	for _, instances := range []int{300, 600, 1200} {
		b.Run(fmt.Sprintf("%d instances", instances), func(b *testing.B) {
			manual := clock.NewManual()
			manual.Advance(clock.Second)
			identity := func(number int) Identity {
				address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number / 250), byte(number%250 + 1)}), 7000).String()
				return Identity{
					Name: settings.InstanceName(fmt.Sprintf("entry-%04d", number)), DataCentre: settings.DataCentreName(fmt.Sprintf("dc-%d", number%5)),
					Peer: address, Caller: address, Size: 160,
				}
			}
			members := New(Options{Self: identity(0), Incarnation: 1, Clock: &manual.Clock})
			members.SetState(Serving)
			sequence, restarted := uint64(0), 0
			b.ReportAllocs()
			for b.Loop() {
				restarted = restarted%(instances-1) + 1
				for number := 1; number < instances; number++ {
					sequence++
					incarnation := Incarnation(1)
					if number == restarted {
						incarnation = Incarnation(sequence)
					}
					members.Receive(Heartbeat{Identity: identity(number), Incarnation: incarnation, Sequence: sequence, State: Standby, Revision: 1, Version: 1})
				}
				for passed := clock.Milliseconds(0); passed < clock.Second; passed += 10 {
					manual.Advance(10)
					members.UpdateStates()
					for _, address := range members.DueHeartbeats() {
						members.NewHeartbeat(address)
					}
				}
			}
		})
	}
}
