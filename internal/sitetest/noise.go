package sitetest

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jaywheel/jaywheel/internal/backendservertest"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Noise is what neighbours on shared machines do to a service's backend servers.
type Noise struct {
	// Share is the part of the time that each server is slow, SlowBy how much slower it then is.
	Share          float64
	SlowdownFactor float64
	// MinSlowInterval and MaxSlowInterval bound one slow spell.
	MinSlowInterval, MaxSlowInterval clock.Milliseconds
	Seed                             uint64
}

// spell is a time during which one server is slow.
type spell struct {
	from, to time.Duration
}

// InjectNoise makes the service's servers slow now and then until the context ends. The same seed gives the same spells.
func (site *Site) InjectNoise(ctx context.Context, name settings.ServiceName, noise Noise) {
	servers := site.Servers(name)
	done := make(chan struct{}, len(servers))
	for number, server := range servers {
		random := rand.New(rand.NewPCG(noise.Seed, uint64(number)))
		go func() {
			noise.disturb(ctx, random, server)
			done <- struct{}{}
		}()
	}
	for range servers {
		<-done
	}
}

func (noise Noise) disturb(ctx context.Context, random *rand.Rand, server *Server) {
	start := time.Now()
	from := time.Duration(0)
	for ctx.Err() == nil {
		next := noise.next(random, from)
		wait(ctx, next.from-time.Since(start))
		server.SetBehaviour(backendservertest.Behaviour{SlowBy: noise.SlowdownFactor})
		wait(ctx, next.to-time.Since(start))
		server.SetBehaviour(backendservertest.Behaviour{})
		from = next.to
	}
}

// next draws the spell that follows a moment: its length evenly, the quiet before it so that Share of all time is slow.
func (noise Noise) next(random *rand.Rand, after time.Duration) spell {
	length := noise.MinSlowInterval + clock.Milliseconds(random.Float64())*(noise.MaxSlowInterval-noise.MinSlowInterval)
	mean := (noise.MinSlowInterval + noise.MaxSlowInterval) / 2
	quiet := mean * clock.Milliseconds((1-noise.Share)/noise.Share*random.ExpFloat64())
	from := after + quiet.Duration()
	return spell{from: from, to: from + length.Duration()}
}

func wait(ctx context.Context, length time.Duration) {
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
