package service

import (
	"math/bits"
	"math/rand/v2"
)

// levelIndex lists items by a level, such as the share of a target's places taken, so that finding the least takes the same time
// however many there are: one bit a level tells which are not empty, and each list can be changed at any position.
type bucketIndex[T any] struct {
	notEmpty uint64
	// lists is made when it is first needed.
	buckets [][]*bucketEntry[T]
}

// levelEntry is where an item stands in a levelIndex.
type bucketEntry[T any] struct {
	item     *T
	bucket   int
	position int
}

// move puts an entry on the list of the given level, or on none.
func (bucketIndex *bucketIndex[T]) move(entry *bucketEntry[T], bucket int) {
	if entry.bucket == bucket {
		return
	}
	bucketIndex.remove(entry)
	if bucket == unlisted {
		return
	}
	if bucketIndex.buckets == nil {
		bucketIndex.buckets = make([][]*bucketEntry[T], levels)
	}
	entry.bucket = bucket
	entry.position = len(bucketIndex.buckets[bucket])
	bucketIndex.buckets[bucket] = append(bucketIndex.buckets[bucket], entry)
	bucketIndex.notEmpty |= 1 << bucket
}

// remove takes an entry off its list.
func (bucketIndex *bucketIndex[T]) remove(entry *bucketEntry[T]) {
	if entry.bucket == unlisted {
		return
	}
	list := bucketIndex.buckets[entry.bucket]
	last := list[len(list)-1]
	list[entry.position] = last
	last.position = entry.position
	list[len(list)-1] = nil
	list = list[:len(list)-1]
	bucketIndex.buckets[entry.bucket] = list
	if len(list) == 0 {
		bucketIndex.notEmpty &^= 1 << entry.bucket
	}
	entry.bucket = unlisted
}

// lowest returns the lowest level at which an item is listed, levels when there is none.
func (bucketIndex *bucketIndex[T]) lowest() int {
	return bits.TrailingZeros64(bucketIndex.notEmpty)
}

// any returns an item of the lowest level at random, or nil.
func (bucketIndex *bucketIndex[T]) randomLowest(random *rand.Rand) *T {
	if bucketIndex.notEmpty == 0 {
		return nil
	}
	list := bucketIndex.buckets[bucketIndex.lowest()]
	if len(list) == 1 {
		return list[0].item
	}
	return list[random.IntN(len(list))].item
}

// gather appends items of the lowest levels, the given number at most, from a random position on where a list has more of them.
func (bucketIndex *bucketIndex[T]) collectLowest(random *rand.Rand, gathered []*T, limit int) []*T {
	for remaining := bucketIndex.notEmpty; remaining != 0 && limit > 0; remaining &= remaining - 1 {
		list := bucketIndex.buckets[bits.TrailingZeros64(remaining)]
		position := 0
		if len(list) > limit {
			position = random.IntN(len(list))
		}
		for range min(len(list), limit) {
			gathered = append(gathered, list[position].item)
			limit--
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
func (bucketIndex *bucketIndex[T]) pickLowest(random *rand.Rand, tried *bucketEntry[T]) *T {
	for remaining := bucketIndex.notEmpty; remaining != 0; remaining &= remaining - 1 {
		list := bucketIndex.buckets[bits.TrailingZeros64(remaining)]
		start := random.IntN(len(list))
		if list[start] != tried {
			return list[start].item
		}
		if len(list) > 1 {
			return list[(start+1)%len(list)].item
		}
	}
	if tried != nil && tried.bucket != unlisted {
		return tried.item
	}
	return nil
}
