package fleet

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// revokeAt is when keys are revoked in a settled fleet, revokedWithin the maximum time from the store's change to the last
	// refusal.
	revokeAt      = 8 * clock.Second
	revokedWithin = 500 * clock.Millisecond
	// revokeCut is how long machines are cut off from the store.
	revokeCut = 10 * clock.Second
)

var (
	keptKey    = team.DigestOf("kept")
	revokedKey = team.DigestOf("revoked")
)

// setTeamKeys writes a configuration with one team that has the keys.
func (store *virtualStore) setTeamKeys(keys ...team.KeyDigest) {
	configuration := *store.configuration
	configuration.NeedsKeys = true
	configuration.Teams = []team.Team{{Name: "strings", Keys: keys, Priority: team.NoPriority}}
	store.configuration = &configuration
	store.configure()
}

// revocations runs a revocation and returns how long each instance continued to accept the key, in ascending order.
func revocations(t *testing.T, instances int, cut func(number int) bool) []clock.Milliseconds {
	var delays []clock.Milliseconds
	synctest.Test(t, func(*testing.T) {
		options := virtualOptions{seed: 5, instances: instances, dataCentres: 3, servers: 6}
		var schedule []change
		for number := range instances {
			if cut(number) {
				schedule = append(schedule, change{At: clock.Moment(revokeAt - clock.Second), For: revokeCut, Kind: storeCut, One: number})
			}
		}
		fleet := newVirtualFleet(options, schedule)
		defer fleet.stop()
		fleet.store.setTeamKeys(keptKey, revokedKey)
		var revoked clock.Moment
		ended := make([]clock.Moment, instances)
		for fleet.clock.Now() < clock.Moment(revokeAt+revokeCut/2) {
			time.Sleep(virtualStep.Duration())
			synctest.Wait()
			now := fleet.clock.Now()
			if revoked == 0 && now >= clock.Moment(revokeAt) {
				fleet.mutex.Lock()
				fleet.store.setTeamKeys(keptKey)
				fleet.mutex.Unlock()
				revoked = now
			}
			fleet.step()
			for number, machine := range fleet.machines {
				if revoked > 0 && ended[number] == 0 && !machine.process.serves(revokedKey) {
					ended[number] = now
				}
			}
		}
		for number, machine := range fleet.machines {
			require.NotZero(t, ended[number], "instance %d still serves the key", number)
			require.True(t, machine.process.serves(keptKey))
			delays = append(delays, ended[number].Since(revoked))
		}
	})
	slices.Sort(delays)
	return delays
}

// serves reports whether a request with the key would be admitted.
func (process *process) serves(digest team.KeyDigest) bool {
	table := process.controller.Table()
	if table == nil || table.Teams == nil {
		return false
	}
	_, known := table.Teams.Find(digest)
	return known
}

// hardestCut leaves the fewest instances that the store reaches. With more than maxInstancesAllCuts instances only that cut is
// tested: the race detector makes a large fleet slow.
const (
	hardestCut          = "nine in ten are cut off from the store"
	maxInstancesAllCuts = 117
)

// Guards against a revoked key that continues to work at instances with a path to an instance that knows of the revocation.
func TestRevocationReachesAll(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		cut  func(number int) bool
	}{
		{"the store reaches all", func(int) bool { return false }},
		{"a third is cut off from the store", func(number int) bool { return number%3 == 0 }},
		{hardestCut, func(number int) bool { return number%10 != 3 }},
	}
	for _, instances := range []int{17, 117, 312} {
		for _, testCase := range cases {
			if instances > maxInstancesAllCuts && testCase.name != hardestCut {
				continue
			}
			t.Run(fmt.Sprintf("%d instances, %s", instances, testCase.name), func(t *testing.T) {
				t.Parallel()
				delays := revocations(t, instances, testCase.cut)
				t.Logf("half after %s, 99 in 100 after %s, all after %s", delays[len(delays)/2], delays[len(delays)*99/100], delays[len(delays)-1])
				require.LessOrEqual(t, float64(delays[len(delays)-1]), float64(revokedWithin))
			})
		}
	}
}
