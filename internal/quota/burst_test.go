package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// burstFleet is instances that count the requests of one team together in virtual time.
type burstFleet struct {
	clock     *clock.Manual
	random    *rand.Rand
	instances []*Limiter
	inTransit []modelDatagram
	admitted  []clock.Moment
}

func newBurstFleet(instances int, limited team.Team, seed uint64) *burstFleet {
	fleet := &burstFleet{clock: clock.NewManual(), random: rand.New(rand.NewPCG(seed, 1))}
	fleet.clock.Advance(clock.Minute)
	for number := range instances {
		limiter := NewLimiter(Options{Clock: &fleet.clock.Clock, Rand: rand.New(rand.NewPCG(seed, uint64(number)+2))})
		limiter.SetBounds(modelBounds)
		limiter.SetFleetFraction(1)
		limiter.SetTeams([]team.Team{limited})
		fleet.instances = append(fleet.instances, limiter)
	}
	return fleet
}

// step delivers reports, sends requests at random instances, and reports what they admitted.
func (fleet *burstFleet) step(number int, name team.Name, requests float64) {
	now := fleet.clock.Now()
	fleet.inTransit = slices.DeleteFunc(fleet.inTransit, func(datagram modelDatagram) bool {
		due := now >= datagram.at
		if due {
			fleet.instances[datagram.to].Receive(datagram.report)
		}
		return due
	})
	for ; requests >= 1 || fleet.random.Float64() < requests; requests-- {
		if _, admitted := fleet.instances[fleet.random.IntN(len(fleet.instances))].Admit(name); admitted {
			fleet.admitted = append(fleet.admitted, now)
		}
	}
	if number%int(modelReportInterval/modelStep) == 0 {
		fleet.report(now)
	}
	fleet.clock.Advance(modelStep)
}

func (fleet *burstFleet) report(now clock.Moment) {
	for from, limiter := range fleet.instances {
		for _, report := range limiter.Reports(Sender(from + 1)) {
			for to := range fleet.instances {
				if to != from {
					fleet.inTransit = append(fleet.inTransit, modelDatagram{to: to, from: from, at: now.Add(modelDelay), report: report})
				}
			}
		}
	}
}

// most returns the largest number of requests that were admitted within the window.
func (fleet *burstFleet) most() int {
	most, first := 0, 0
	for index, at := range fleet.admitted {
		for at.Since(fleet.admitted[first]) > modelBounds.Window {
			first++
		}
		most = max(most, index-first+1)
	}
	return most
}

// Guards against a limit that is exceeded because each instance admits from a full bucket when requests come at once after a pause.
func TestLimitHoldsInBursts(t *testing.T) {
	const (
		counting  = 3
		seeds     = 5
		length    = 30 * clock.Second
		excess    = 3
		burstTime = 100 * clock.Millisecond
	)
	for _, rate := range []float64{1, 5, 12, 40, 93} {
		for _, burst := range []float64{0, rate, 3 * rate} {
			for _, interval := range []clock.Milliseconds{burstTime, clock.Second, 2500 * clock.Millisecond, 6 * clock.Second} {
				t.Run(fmt.Sprintf("rate %.0f, burst %.0f, each %s", rate, burst, interval), func(t *testing.T) {
					most := 0
					for seed := range uint64(seeds) {
						fleet := newBurstFleet(counting, team.Team{Name: "team", Rate: rate, Burst: burst}, seed)
						for number := range int(length / modelStep) {
							requests := 0.0
							if clock.Milliseconds(number%int(interval/modelStep))*modelStep < burstTime {
								requests = excess * rate * float64(interval/burstTime) * float64(modelStep/clock.Second)
							}
							fleet.step(number, "team", requests)
						}
						most = max(most, fleet.most())
					}
					allowed := (rate*float64(modelBounds.Window/clock.Second)+burst)*(1+modelBounds.Over) + modelBounds.Slack
					require.LessOrEqual(t, float64(most), allowed)
				})
			}
		}
	}
}
