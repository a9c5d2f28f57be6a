package fleet

import (
	"fmt"
	"testing"
)

// BenchmarkStandbySecond measures one second of a standby instance, which should cost next to nothing in a fleet of any size.
func BenchmarkStandbySecond(b *testing.B) {
	for _, instances := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("%d instances", instances), func(b *testing.B) {
			fixture := newStandbyFixture(b, instances, 318)
			b.ReportAllocs()
			for b.Loop() {
				fixture.advanceSecond()
			}
		})
	}
}

// BenchmarkPublish measures the computation of routes and owners, which is repeated whenever an instance or a server changes.
func BenchmarkPublish(b *testing.B) {
	fixture := newStandbyFixture(b, 100, 318)
	b.ReportAllocs()
	for b.Loop() {
		fixture.controller.publish()
	}
}
