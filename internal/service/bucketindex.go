package service

import (
	"math/bits"
	"math/rand/v2"
)

// bucketIndex lists items by bucket, such as the share of a target's permits in use, so that the lowest item is found in the
// same time for any number of items: a bit mask marks the buckets that are not empty, and an item can be removed from any
// position of a bucket.
type bucketIndex[T any] struct {
	notEmpty uint64
	// buckets is allocated on first use.
	buckets [][]*bucketEntry[T]
}

// bucketEntry is the position of an item in a bucketIndex.
type bucketEntry[T any] struct {
	item     *T
	bucket   int
	position int
}

// move moves an entry to the given bucket, or removes it from the index if the bucket is notIndexed.
func (bucketIndex *bucketIndex[T]) move(entry *bucketEntry[T], bucket int) {
	if entry.bucket == bucket {
		return
	}
	bucketIndex.remove(entry)
	if bucket == notIndexed {
		return
	}
	if bucketIndex.buckets == nil {
		bucketIndex.buckets = make([][]*bucketEntry[T], bucketCount)
	}
	entry.bucket = bucket
	entry.position = len(bucketIndex.buckets[bucket])
	bucketIndex.buckets[bucket] = append(bucketIndex.buckets[bucket], entry)
	bucketIndex.notEmpty |= 1 << bucket
}

// remove removes an entry from its bucket.
func (bucketIndex *bucketIndex[T]) remove(entry *bucketEntry[T]) {
	if entry.bucket == notIndexed {
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
	entry.bucket = notIndexed
}

// lowest returns the lowest bucket that is not empty, or the number of buckets if all are empty.
func (bucketIndex *bucketIndex[T]) lowest() int {
	return bits.TrailingZeros64(bucketIndex.notEmpty)
}

// randomLowest returns a random item of the lowest bucket, or nil.
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

// collectLowest appends up to limit items of the lowest buckets, starting at a random position in a bucket that has more of
// them.
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

// pickLowest returns an item of the lowest bucket, random among equals. The previous item, of an earlier attempt, is returned
// only if there is no other. It returns nil if the index is empty.
//
// The choice among equals is random because with a fixed order all instances, each with the same view, would send their next
// request to the same target.
func (bucketIndex *bucketIndex[T]) pickLowest(random *rand.Rand, previous *bucketEntry[T]) *T {
	for remaining := bucketIndex.notEmpty; remaining != 0; remaining &= remaining - 1 {
		list := bucketIndex.buckets[bits.TrailingZeros64(remaining)]
		start := random.IntN(len(list))
		if list[start] != previous {
			return list[start].item
		}
		if len(list) > 1 {
			return list[(start+1)%len(list)].item
		}
	}
	if previous != nil && previous.bucket != notIndexed {
		return previous.item
	}
	return nil
}
