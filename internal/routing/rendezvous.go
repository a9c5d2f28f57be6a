package routing

import (
	"cmp"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// rendezvousScore returns the rendezvous hash of two names. Every process that knows the same names orders them alike, and
// adding or removing a name does not change the order of the others.
func rendezvousScore(left, right string) uint64 {
	return finalize(addToHash(addToHash(fnvOffset, left)*fnvPrime, right))
}

// Parameters of the 64-bit FNV-1a hash. It is computed here because hash/fnv needs a copy of each text.
const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

// addToHash returns the hash after the bytes of a text. A zero byte, which separates texts, only multiplies it by fnvPrime.
func addToHash(hash uint64, text string) uint64 {
	for index := range len(text) {
		hash = (hash ^ uint64(text[index])) * fnvPrime
	}
	return hash
}

// finalize mixes the bits of a hash, since the last bytes of the input otherwise have little influence on the high bits.
func finalize(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	value ^= value >> 33
	return value
}

// ServingInstances chooses the instances to which callers of a service are sent: the first ones by rendezvous hash, distributed
// over the data centres as evenly as possible. With few instances for one service, each sees a large part of its load directly,
// which lowers the tail latency; with different data centres, the service stays available when one is lost.
func ServingInstances(name settings.ServiceName, instances []Instance, count int) []Instance {
	ordered := slices.Clone(instances)
	slices.SortFunc(ordered, func(left, right Instance) int {
		return cmp.Or(
			cmp.Compare(rendezvousScore(string(name), string(right.Name)), rendezvousScore(string(name), string(left.Name))),
			cmp.Compare(left.Name, right.Name),
		)
	})
	used := map[settings.DataCentreName]int{}
	var chosen []Instance
	for round := 0; len(chosen) < min(count, len(ordered)); round++ {
		for _, instance := range ordered {
			if used[instance.DataCentre] != round || len(chosen) == count || slices.Contains(chosen, instance) {
				continue
			}
			used[instance.DataCentre]++
			chosen = append(chosen, instance)
		}
	}
	return chosen
}

// Owners chooses the owner of each of a service's targets among the serving instances. The owner reads the target's report and
// sends the first requests to it when it is cold. Each target is assigned to the first instance by rendezvous hash that does
// not own its even share yet. Without the even share, an instance might own none of a few targets, and could not serve its
// callers while all are cold.
func Owners(targets []settings.TargetName, serving []Instance) map[settings.TargetName]settings.InstanceName {
	owners := make(map[settings.TargetName]settings.InstanceName, len(targets))
	if len(serving) == 0 {
		return owners
	}
	ownerShares := ownerShares{floor: len(targets) / len(serving), extra: len(targets) % len(serving), owned: map[settings.InstanceName]int{}}
	for _, target := range slices.Sorted(slices.Values(targets)) {
		owner := ownerShares.first(target, serving)
		ownerShares.assign(owner)
		owners[target] = owner
	}
	return owners
}

// ownerShares counts the targets that each instance owns during the assignment. Each instance may own floor targets, and extra of
// the instances may own one more; extra decreases as such targets are assigned.
type ownerShares struct {
	floor, extra int
	owned        map[settings.InstanceName]int
}

// mayOwnAnother reports whether the instance may own one more target.
func (ownerShares *ownerShares) mayOwnAnother(name settings.InstanceName) bool {
	owned := ownerShares.owned[name]
	return owned < ownerShares.floor || owned == ownerShares.floor && ownerShares.extra > 0
}

// assign counts one more target as owned by the instance.
func (ownerShares *ownerShares) assign(name settings.InstanceName) {
	if ownerShares.owned[name] == ownerShares.floor {
		ownerShares.extra--
	}
	ownerShares.owned[name]++
}

// first returns the first instance for target by rendezvous hash among those that may own one more.
func (ownerShares *ownerShares) first(target settings.TargetName, serving []Instance) settings.InstanceName {
	var best settings.InstanceName
	var bestScore uint64
	for _, instance := range serving {
		if !ownerShares.mayOwnAnother(instance.Name) {
			continue
		}
		if score := rendezvousScore(string(target), string(instance.Name)); best == "" || score > bestScore {
			best, bestScore = instance.Name, score
		}
	}
	return best
}
