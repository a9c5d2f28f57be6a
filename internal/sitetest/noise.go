package sitetest

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jaywheel/jaywheel/internal/backendservertest"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Noise describes the effect of other processes on the machines of a service's backend servers.
type Noise struct {
	// Share is the fraction of the time for which each server is slow, SlowdownFactor how many times slower it is then.
	Share          float64
	SlowdownFactor float64
	// MinSlowInterval and MaxSlowInterval bound the length of a slowdown interval.
	MinSlowInterval, MaxSlowInterval clock.Milliseconds
	Seed                             uint64
}

// slowdownInterval is a time during which one server is slow, counted from the start of the noise.
type slowdownInterval struct {
	from, to time.Duration
}

// InjectNoise slows the service's servers down at random until the context ends. The same seed gives the same intervals.
func (site *Site) InjectNoise(ctx context.Context, name settings.ServiceName, noise Noise) {
	servers := site.Servers(name)
	done := make(chan struct{}, len(servers))
	for number, server := range servers {
		random := rand.New(rand.NewPCG(noise.Seed, uint64(number)))
		go func() {
			noise.slowDown(ctx, random, server)
			done <- struct{}{}
		}()
	}
	for range servers {
		<-done
	}
}

func (noise Noise) slowDown(ctx context.Context, random *rand.Rand, server *Server) {
	start := time.Now()
	from := time.Duration(0)
	for ctx.Err() == nil {
		interval := noise.nextInterval(random, from)
		sleep(ctx, interval.from-time.Since(start))
		server.SetBehaviour(backendservertest.Behaviour{SlowdownFactor: noise.SlowdownFactor})
		sleep(ctx, interval.to-time.Since(start))
		server.SetBehaviour(backendservertest.Behaviour{})
		from = interval.to
	}
}

// nextInterval draws the first slowdown interval after a moment. Its length is uniformly distributed, and the mean of the
// exponentially distributed pause before it is such that the server is slow for the fraction Share of the time.
func (noise Noise) nextInterval(random *rand.Rand, after time.Duration) slowdownInterval {
	length := noise.MinSlowInterval + clock.Milliseconds(random.Float64())*(noise.MaxSlowInterval-noise.MinSlowInterval)
	meanLength := (noise.MinSlowInterval + noise.MaxSlowInterval) / 2
	pause := meanLength * clock.Milliseconds((1-noise.Share)/noise.Share*random.ExpFloat64())
	from := after + pause.Duration()
	return slowdownInterval{from: from, to: from + length.Duration()}
}

func sleep(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
