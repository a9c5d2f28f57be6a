package routing

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// score is the rendezvous hash of two names: every process that knows the same names orders them alike, and a name that
// comes or goes changes nothing between the others.
func score(left, right string) uint64 {
	hash := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(left))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(right))
	return mix(hash.Sum64())
}

// mix spreads the bits of a hash whose last bytes would otherwise decide little.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	value ^= value >> 33
	return value
}

// ServingInstances chooses the instances to which callers of a service are sent: the first by rendezvous hash, taken so
// that data centres are used as evenly as can be. Few instances for one service see a large part of its load at first
// hand, which is what steadies its tail; different data centres keep it served when one is lost.
func ServingInstances(name settings.ServiceName, instances []Instance, count int) []Instance {
	ordered := slices.Clone(instances)
	slices.SortFunc(ordered, func(left, right Instance) int {
		return cmp.Or(
			cmp.Compare(score(string(name), string(right.Name)), score(string(name), string(left.Name))),
			cmp.Compare(left.Name, right.Name),
		)
	})
	used := map[settings.DataCentreName]int{}
	var chosen []Instance
	for round := 0; len(chosen) < min(count, len(ordered)); round++ {
		for _, candidate := range ordered {
			if used[candidate.DataCentre] != round || len(chosen) == count || slices.Contains(chosen, candidate) {
				continue
			}
			used[candidate.DataCentre]++
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}

// Owners chooses, for each of a service's targets, the one serving instance that answers for it: it reads the target's
// report and starts it when it is cold. Each target takes the instance that comes first for it by rendezvous hash and
// does not own its even share yet. Without the even share an instance could own none of a few targets, and would have
// nothing to give its callers while all are cold.
func Owners(targets []settings.TargetName, serving []Instance) map[settings.TargetName]settings.InstanceName {
	owners := make(map[settings.TargetName]settings.InstanceName, len(targets))
	if len(serving) == 0 {
		return owners
	}
	shares := evenShares{floor: len(targets) / len(serving), extra: len(targets) % len(serving), owned: map[settings.InstanceName]int{}}
	for _, target := range slices.Sorted(slices.Values(targets)) {
		owner := shares.first(target, serving)
		shares.take(owner)
		owners[target] = owner
	}
	return owners
}

// evenShares counts what each instance owns while targets are given out: floor each, and one more for the first extra
// instances that are chosen for one.
type evenShares struct {
	floor, extra int
	owned        map[settings.InstanceName]int
}

func (evenShares *evenShares) mayTake(name settings.InstanceName) bool {
	owned := evenShares.owned[name]
	return owned < evenShares.floor || owned == evenShares.floor && evenShares.extra > 0
}

func (evenShares *evenShares) take(name settings.InstanceName) {
	if evenShares.owned[name] == evenShares.floor {
		evenShares.extra--
	}
	evenShares.owned[name]++
}

// first returns the instance that comes first for target by rendezvous hash, among those that may take one more.
func (evenShares *evenShares) first(target settings.TargetName, serving []Instance) settings.InstanceName {
	var best settings.InstanceName
	var bestScore uint64
	for _, candidate := range serving {
		if !evenShares.mayTake(candidate.Name) {
			continue
		}
		if own := score(string(target), string(candidate.Name)); best == "" || own > bestScore {
			best, bestScore = candidate.Name, own
		}
	}
	return best
}
