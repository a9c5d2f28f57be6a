package instance

import (
	"fmt"
	"testing"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// BenchmarkDatagram measures encoding, sealing, opening and decoding one datagram, and reports its size.
func BenchmarkDatagram(b *testing.B) {
	for _, targets := range []int{0, MaxTargets} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			sealer, err := NewSealer(settings.Keys{SealWith: "2026-12", Known: map[settings.KeyName]string{"2026-12": oldKey}})
			if err != nil {
				b.Fatal(err)
			}
			heartbeat := Heartbeat{From: "entry-12", Incarnation: 1764720000000, Sequence: 1 << 20, Digest: 1 << 60}
			for number := range targets {
				heartbeat.Targets = append(heartbeat.Targets, TargetStatus{Target: TargetKey(1<<60 + number), Warm: true})
			}
			var size int
			b.ReportAllocs()
			for b.Loop() {
				message, err := encode(heartbeat)
				if err != nil {
					b.Fatal(err)
				}
				datagram := sealer.Seal(message)
				size = len(datagram)
				opened, err := sealer.Open(datagram)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := decode(opened); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
