package service

import (
	"math/bits"
	"math/rand/v2"
)

// levelIndex lists targets by the share of their places taken, so that finding the least takes the same time however
// many targets there are: one bit a level tells which are not empty, and each list can be changed at any position.
type levelIndex struct {
	notEmpty uint64
	lists    [levels][]*Target
}

// move puts target on the list of the given level, or on none.
func (levelIndex *levelIndex) move(target *Target, level int) {
	if target.level == level {
		return
	}
	levelIndex.remove(target)
	if level == unlisted {
		return
	}
	target.level = level
	target.position = len(levelIndex.lists[level])
	levelIndex.lists[level] = append(levelIndex.lists[level], target)
	levelIndex.notEmpty |= 1 << level
}

// remove takes target off its list.
func (levelIndex *levelIndex) remove(target *Target) {
	if target.level == unlisted {
		return
	}
	list := levelIndex.lists[target.level]
	last := list[len(list)-1]
	list[target.position] = last
	last.position = target.position
	list[len(list)-1] = nil
	list = list[:len(list)-1]
	levelIndex.lists[target.level] = list
	if len(list) == 0 {
		levelIndex.notEmpty &^= 1 << target.level
	}
	target.level = unlisted
}

// least returns a target of the lowest level, at random among equals, passing over one that was tried before as long
// as there is another. It returns nil when no target is listed.
//
// Random among equals matters: with a fixed order all instances, each with the same view, would send their next
// request to the same target.
func (levelIndex *levelIndex) least(random *rand.Rand, tried *Target) *Target {
	for remaining := levelIndex.notEmpty; remaining != 0; remaining &= remaining - 1 {
		list := levelIndex.lists[bits.TrailingZeros64(remaining)]
		start := random.IntN(len(list))
		if list[start] != tried {
			return list[start]
		}
		if len(list) > 1 {
			return list[(start+1)%len(list)]
		}
	}
	if tried != nil && tried.level != unlisted {
		return tried
	}
	return nil
}
