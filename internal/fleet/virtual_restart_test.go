package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// restartWatch is how long a restarted fleet is observed, storeAwayFor how long the store is away meanwhile.
const (
	restartWatch = 8 * clock.Second
	storeAwayFor = 4 * clock.Second
)

// refusedForGood returns a description of the first instance that would answer 404 or 401 for what only the newest configuration allows,
// after the end of all processes right after its acknowledgement and the given time until they start again.
func refusedForGood(t *testing.T, kind changeKind, downtime clock.Milliseconds) string {
	var refused string
	synctest.Test(t, func(*testing.T) {
		fleet := newVirtualFleet(virtualOptions{seed: 5, instances: smallFleet, dataCentres: 3, servers: 6, ownClocks: true}, nil)
		defer fleet.stop()
		fleet.runUntil(readersSettledAt)
		version := fleet.configure()
		fleet.runUntil(fleet.clock.Now().Add(400 * clock.Millisecond))
		fleet.mutex.Lock()
		now := fleet.clock.Now()
		for _, machine := range fleet.machines {
			fleet.restart(machine, now, downtime+clock.Milliseconds(machine.number)*20)
		}
		fleet.active = append(fleet.active, change{At: now.Add(-clock.Second), For: storeAwayFor, Kind: kind})
		fleet.network.refresh(fleet.active)
		fleet.mutex.Unlock()
		served := 0
		for end := now.Add(restartWatch); fleet.clock.Now() < end && refused == ""; {
			fleet.runUntil(fleet.clock.Now().Add(virtualStep))
			for _, machine := range fleet.machines {
				if machine.process == nil {
					continue
				}
				controller := machine.process.controller
				// A request arrives in each step.
				controller.readStale()
				table := controller.Table()
				if table == nil {
					continue
				}
				if known := catalog.Version(table.Site.Revision); known < version && controller.KeyStatus() == team.KeysCurrent {
					refused = fmt.Sprintf("%s refuses what version %d allows by version %d, %s after the end of all processes",
						machine.identity.Name, version, known, fleet.clock.Now().Since(now))
				}
				served++
			}
		}
		if served == 0 {
			refused = "no instance ever had a configuration"
		}
	})
	return refused
}

// Guards against a restarted instance that refuses a route or a key for good by an old configuration, which a stale read returned.
func TestRestartedInstancesRefuseNothingByAnOldConfiguration(t *testing.T) {
	t.Parallel()
	for _, kind := range []changeKind{storeStale, storeDown, storeSlow, nothing} {
		for _, downtime := range []clock.Milliseconds{100 * clock.Millisecond, 900 * clock.Millisecond} {
			t.Run(fmt.Sprintf("%s, down for %s", kind, downtime), func(t *testing.T) {
				t.Parallel()
				require.Empty(t, refusedForGood(t, kind, downtime))
			})
		}
	}
}
