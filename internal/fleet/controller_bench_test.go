package fleet

import (
	"fmt"
	"testing"
)

// One that stands by should cost next to nothing, however many there are.
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

// Whenever an instance comes or goes, and whenever a server changes, the routes and owners are worked out anew.
func BenchmarkPublish(b *testing.B) {
	fixture := newStandbyFixture(b, 100, 318)
	b.ReportAllocs()
	for b.Loop() {
		fixture.controller.publish()
	}
}
