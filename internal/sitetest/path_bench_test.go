package sitetest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const streamBytes = 100 << 20

// startRodopa starts the example site Rodopa with fake backend servers that respond at once, and waits until it is warm.
func startRodopa(tb testing.TB, instances int, targets map[settings.ServiceName]int) *Site {
	loaded, err := settings.LoadSite("../../examples/rodopa.base.json", "../../examples/rodopa.sofia.json")
	require.NoError(tb, err)
	site, err := Start(Options{
		Site: WithShortIntervals(loaded.Site, 100*clock.Millisecond), Instances: instances, Targets: targets, Log: zerolog.Nop(), Seed: 1,
	})
	require.NoError(tb, err)
	tb.Cleanup(site.Close)
	require.NoError(tb, site.WaitWarm(context.Background()))
	return site
}

// endpoints returns the addresses to which a benchmark sends its calls: a backend server and an instance.
func endpoints(site *Site, service settings.ServiceName) []struct{ name, address string } {
	return []struct{ name, address string }{
		{"direct", site.Servers(service)[0].Address()},
		{"through", site.Entries()[0].CallerAddress()},
	}
}

func get(tb testing.TB, client *http.Client, address, host, path string) int64 {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, http.NoBody)
	require.NoError(tb, err)
	request.Host = host
	response, err := client.Do(request)
	require.NoError(tb, err)
	defer response.Body.Close()
	require.Equal(tb, http.StatusOK, response.StatusCode)
	count, err := io.Copy(io.Discard, response.Body)
	require.NoError(tb, err)
	return count
}

// BenchmarkCall measures sequential small calls.
func BenchmarkCall(b *testing.B) {
	site := startRodopa(b, 1, map[settings.ServiceName]int{"browsing": 20, "booking": 1, "archive": 1})
	for _, endpoint := range endpoints(site, "browsing") {
		b.Run(endpoint.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			b.ReportAllocs()
			for b.Loop() {
				get(b, client, endpoint.address, "slots.rodopa.example", "/slots")
			}
		})
	}
}

// BenchmarkStream measures the throughput of downloads of 100 MiB, alternately directly and through an instance. It reports the
// throughput through an instance as a fraction of the direct throughput: the median, p10 and p90 of all iterations.
func BenchmarkStream(b *testing.B) {
	site := startRodopa(b, 1, map[settings.ServiceName]int{"browsing": 1, "booking": 1, "archive": 6})
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	path := fmt.Sprintf("/excerpt?size=%d", streamBytes)
	var ratios []float64
	for b.Loop() {
		var durations []time.Duration
		for _, endpoint := range endpoints(site, "archive") {
			start := time.Now()
			count := get(b, client, endpoint.address, "archive.rodopa.example", path)
			durations = append(durations, time.Since(start))
			require.EqualValues(b, streamBytes, count)
		}
		ratios = append(ratios, float64(durations[0])/float64(durations[1]))
	}
	slices.Sort(ratios)
	b.ReportMetric(ratios[len(ratios)/2], "ofDirect(median)")
	b.ReportMetric(ratios[len(ratios)/10], "ofDirect(p10)")
	b.ReportMetric(ratios[len(ratios)*9/10], "ofDirect(p90)")
}

// BenchmarkIdleConnections reports the memory of each caller connection that has made one call and stays open.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 1000
	site := startRodopa(b, 1, map[settings.ServiceName]int{"browsing": 2, "booking": 1, "archive": 1})
	address := site.Entries()[0].CallerAddress()
	for b.Loop() {
		before := memoryInUse()
		var openConnections []net.Conn
		for range connections {
			openConnections = append(openConnections, openIdleConnection(b, address))
		}
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/connection")
		for _, connection := range openConnections {
			connection.Close()
		}
	}
}

// openIdleConnection makes one call on a new connection and leaves the connection open.
func openIdleConnection(b *testing.B, address string) net.Conn {
	connection, err := net.Dial("tcp", address)
	require.NoError(b, err)
	_, err = io.WriteString(connection, "GET /slots HTTP/1.1\r\nHost: slots.rodopa.example\r\n\r\n")
	require.NoError(b, err)
	buffer := make([]byte, 4096)
	_, err = connection.Read(buffer)
	require.NoError(b, err)
	return connection
}

// memoryInUse returns the memory in use by the heap and the stacks of the process, in bytes, after garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// BenchmarkStreamMemory reports the memory of each of 8 downloads that the callers stop reading half way.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 8
	site := startRodopa(b, 1, map[settings.ServiceName]int{"browsing": 1, "booking": 1, "archive": 6})
	address := site.Entries()[0].CallerAddress()
	for b.Loop() {
		before := memoryInUse()
		var openConnections []net.Conn
		for range streams {
			connection, err := net.Dial("tcp", address)
			require.NoError(b, err)
			_, err = fmt.Fprintf(connection, "GET /excerpt?size=%d HTTP/1.1\r\nHost: archive.rodopa.example\r\n\r\n", streamBytes)
			require.NoError(b, err)
			_, err = io.CopyN(io.Discard, connection, streamBytes/2)
			require.NoError(b, err)
			openConnections = append(openConnections, connection)
		}
		b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
		for _, connection := range openConnections {
			connection.Close()
		}
	}
}
