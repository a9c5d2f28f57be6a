package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against a cold server that gets too many requests, and against instances that disagree about owners or name ones that do not
// serve, while more instances begin to serve under load and stop after it, among faults.
func TestVirtualFleetFollowsTheLoad(t *testing.T) {
	const (
		loadFrom, loadUntil = clock.Moment(8 * clock.Second), clock.Moment(18 * clock.Second)
		heavy, light        = 1600, 60
	)
	for seed := *virtualSeed; seed < *virtualSeed+uint64(*virtualSeeds+1)/2; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			options := optionsForSeed(seed)
			options.instances = max(options.instances, 9)
			options.load = func(now clock.Moment) float64 {
				if now >= loadFrom && now < loadUntil {
					return heavy
				}
				return light
			}
			for _, schedule := range [][]change{nil, newSchedule(options)} {
				result := playVirtual(t, options, schedule)
				if result.violation != nil {
					failVirtual(t, options, schedule, result.violation)
				}
				require.Greater(t, result.worstCase.serving, max(3, options.dataCentres), "more instances serve under load")
			}
		})
	}
}
