package service

import (
	"math/bits"
	"math/rand/v2"
)

// levelIndex lists items by a level, such as the share of a target's places taken, so that finding the least takes the same time
// however many there are: one bit a level tells which are not empty, and each list can be changed at any position.
type levelIndex[T any] struct {
	notEmpty uint64
	// lists is made when it is first needed.
	lists [][]*levelEntry[T]
}

// levelEntry is where an item stands in a levelIndex.
type levelEntry[T any] struct {
	item     *T
	level    int
	position int
}

// move puts an entry on the list of the given level, or on none.
func (levelIndex *levelIndex[T]) move(entry *levelEntry[T], level int) {
	if entry.level == level {
		return
	}
	levelIndex.remove(entry)
	if level == notIndexed {
		return
	}
	if levelIndex.lists == nil {
		levelIndex.lists = make([][]*levelEntry[T], bucketCount)
	}
	entry.level = level
	entry.position = len(levelIndex.lists[level])
	levelIndex.lists[level] = append(levelIndex.lists[level], entry)
	levelIndex.notEmpty |= 1 << level
}

// remove takes an entry off its list.
func (levelIndex *levelIndex[T]) remove(entry *levelEntry[T]) {
	if entry.level == notIndexed {
		return
	}
	list := levelIndex.lists[entry.level]
	last := list[len(list)-1]
	list[entry.position] = last
	last.position = entry.position
	list[len(list)-1] = nil
	list = list[:len(list)-1]
	levelIndex.lists[entry.level] = list
	if len(list) == 0 {
		levelIndex.notEmpty &^= 1 << entry.level
	}
	entry.level = notIndexed
}

// lowest returns the lowest level at which an item is listed, levels when there is none.
func (levelIndex *levelIndex[T]) lowest() int {
	return bits.TrailingZeros64(levelIndex.notEmpty)
}

// any returns an item of the lowest level at random, or nil.
func (levelIndex *levelIndex[T]) any(random *rand.Rand) *T {
	if levelIndex.notEmpty == 0 {
		return nil
	}
	list := levelIndex.lists[levelIndex.lowest()]
	if len(list) == 1 {
		return list[0].item
	}
	return list[random.IntN(len(list))].item
}

// gather appends items of the lowest levels, the given number at most, from a random position on where a list has more of them.
func (levelIndex *levelIndex[T]) gather(random *rand.Rand, gathered []*T, most int) []*T {
	for remaining := levelIndex.notEmpty; remaining != 0 && most > 0; remaining &= remaining - 1 {
		list := levelIndex.lists[bits.TrailingZeros64(remaining)]
		position := 0
		if len(list) > most {
			position = random.IntN(len(list))
		}
		for range min(len(list), most) {
			gathered = append(gathered, list[position].item)
			most--
			position++
			if position == len(list) {
				position = 0
			}
		}
	}
	return gathered
}

// least returns an item of the lowest level, at random among equals, passing over one that was tried before as long
// as there is another. It returns nil when none is listed.
//
// Random among equals matters: with a fixed order all instances, each with the same view, would send their next
// request to the same target.
func (levelIndex *levelIndex[T]) least(random *rand.Rand, tried *levelEntry[T]) *T {
	for remaining := levelIndex.notEmpty; remaining != 0; remaining &= remaining - 1 {
		list := levelIndex.lists[bits.TrailingZeros64(remaining)]
		start := random.IntN(len(list))
		if list[start] != tried {
			return list[start].item
		}
		if len(list) > 1 {
			return list[(start+1)%len(list)].item
		}
	}
	if tried != nil && tried.level != notIndexed {
		return tried.item
	}
	return nil
}
