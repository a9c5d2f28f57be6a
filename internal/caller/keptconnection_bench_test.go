package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// benchmarkLimits are the limits with which a connection is read on behind a request in progress, and without.
var benchmarkLimits = []struct {
	name         string
	maxPipelined int
}{
	{"one at a time", 0},
	{"pipelined", 16},
}

func newBenchmarkFixture(b *testing.B, maxPipelined int) *fixture {
	limits := pipelinedLimits()
	limits.MaxConnections, limits.MaxPipelined = 5000, maxPipelined
	return newPipelinedFixture(b, limits, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "answer") })
}

// awaitIdle waits until the instance has ended the latest request of its only connection, as it has when the next one arrives over a
// network.
func (fixture *fixture) awaitIdle() {
	for idle := false; !idle; {
		fixture.listener.mutex.Lock()
		for guarded := range fixture.listener.open {
			guarded.mutex.Lock()
			idle = guarded.state == http.StateIdle
			guarded.mutex.Unlock()
		}
		fixture.listener.mutex.Unlock()
		runtime.Gosched()
	}
}

// BenchmarkKeptConnection measures a caller that sends one request at a time on a connection that it keeps.
func BenchmarkKeptConnection(b *testing.B) {
	for _, limits := range benchmarkLimits {
		b.Run(limits.name, func(b *testing.B) {
			fixture := newBenchmarkFixture(b, limits.maxPipelined)
			caller := fixture.dialPipelined(b)
			b.ReportAllocs()
			for b.Loop() {
				caller.send(lookup("/1"))
				caller.requireBody("answer")
				fixture.awaitIdle()
			}
		})
	}
}

// BenchmarkPipelinedRequest measures a request of a caller that sends six at once.
func BenchmarkPipelinedRequest(b *testing.B) {
	const count = 6
	for _, limits := range benchmarkLimits {
		b.Run(limits.name, func(b *testing.B) {
			caller := newBenchmarkFixture(b, limits.maxPipelined).dialPipelined(b)
			requests := slices.Repeat([]string{lookup("/1")}, count)
			b.ReportAllocs()
			for number := 0; b.Loop(); number++ {
				if number%count == 0 {
					caller.send(requests...)
				}
				caller.requireBody("answer")
			}
		})
	}
}

// BenchmarkIdleConnection measures the memory of a connection on which a request has been answered.
func BenchmarkIdleConnection(b *testing.B) {
	const count = 1000
	for _, limits := range benchmarkLimits {
		b.Run(limits.name, func(b *testing.B) {
			for b.Loop() {
				fixture := newBenchmarkFixture(b, limits.maxPipelined)
				before := heapBytes()
				connections := make([]net.Conn, 0, count)
				for range count {
					connection, err := net.Dial("tcp", fixture.address)
					require.NoError(b, err)
					connections = append(connections, connection)
					_, err = io.WriteString(connection, lookup("/1"))
					require.NoError(b, err)
					received, err := http.ReadResponse(bufio.NewReaderSize(connection, 512), nil)
					require.NoError(b, err)
					require.NoError(b, received.Body.Close())
				}
				b.ReportMetric(float64(heapBytes()-before)/count, "B/connection")
				for _, connection := range connections {
					connection.Close()
				}
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
