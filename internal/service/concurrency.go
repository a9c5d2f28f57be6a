package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// concurrency learns how much longer requests take on targets that run many others. Some targets slow down before their last slots are
// taken, so that a full one gets less done than one with a slot or two left; others don't, and what is left free there is lost.
// Targets are told apart by their number of slots.
//
// What is learnt is how many times longer a request takes that starts as the first, the second and so on of those that a target
// runs. Up to half of the slots that is taken to be once. A request that sees more of them later tells nothing: whether what came later
// held it up is not known.
type concurrency struct {
	bySlots     map[int]*slotClass
	slotClasses []*slotClass
	// learns says that what requests take tells of how many others there were when they started.
	learns bool
}

// slotClass is what is known of targets with one number of slots.
type slotClass struct {
	concurrency *concurrency
	// longer holds, for each number of requests under way with the new one, how many times longer that one takes; told counts the
	// requests that have told so.
	longer []float64
	told   []int
	// room is the number of requests at once with which the most gets done.
	room int
	// trials is the number of requests under way beyond that room.
	trials int

	// targets counts the targets in use by the number of requests there, the last count stands for more as well.
	targets []int
	// open lists those that are open only for one request beyond the room, filedRoom is the room by which targets are filed.
	open      openTargets
	filedRoom int
}

// flight is what a request under way sees of its target.
type flight struct {
	// first is the number of requests there when it started, itself included, peak the largest since.
	first, peak int
}

const (
	// nearlyFull is the share of the slots above which targets are taken to slow down until requests have told, and
	// nearlyFullLonger by how much.
	nearlyFull       = 0.8
	nearlyFullLonger = 1.7
	// leastSlowedSlots is the least number of slots with which a target is thought to slow down at all.
	leastSlowedSlots = 3
	// clearGain is how many times more must get done for the room to change.
	clearGain = 1.1
	// concurrencyWeight is the weight of one request.
	concurrencyWeight = 0.1
	// concurrencyKnown is the number of requests from which a figure counts as known. Until then concurrencyTrials at a time find out.
	concurrencyKnown  = 12
	concurrencyTrials = 2
)

// of returns what is known of targets with the given number of slots.
func (concurrency *concurrency) of(slots int) *slotClass {
	slots = max(slots, 1)
	if known, found := concurrency.bySlots[slots]; found {
		return known
	}
	fresh := &slotClass{concurrency: concurrency, longer: make([]float64, slots+1), told: make([]int, slots+1), targets: make([]int, slots+2)}
	for count := range fresh.longer {
		fresh.longer[count] = 1
		if float64(count) > nearlyFull*float64(slots) && !fresh.unhindered(count) {
			fresh.longer[count] = nearlyFullLonger
		}
	}
	fresh.setRoom()
	fresh.filedRoom = fresh.room
	concurrency.slotClasses = append(concurrency.slotClasses, fresh)
	if concurrency.bySlots == nil {
		concurrency.bySlots = map[int]*slotClass{}
	}
	concurrency.bySlots[slots] = fresh
	return fresh
}

// unhindered reports whether so few requests are taken not to hold each other up.
func (slotClass *slotClass) unhindered(count int) bool {
	slots := len(slotClass.longer) - 1
	return slots < leastSlowedSlots || count <= (slots+1)/2
}

// setRoom finds the number of requests at once with which the most gets done, by Little's law their number by the time of each. It
// changes only for a clear gain.
func (slotClass *slotClass) setRoom() {
	best := slotClass.room
	for count := 1; count < len(slotClass.longer); count++ {
		if slotClass.done(count) > slotClass.done(best) {
			best = count
		}
	}
	if slotClass.room == 0 || slotClass.done(best) > clearGain*slotClass.done(slotClass.room) {
		slotClass.room = best
	}
}

// done is how much the target gets done with the given number of requests at once.
func (slotClass *slotClass) done(count int) float64 {
	return float64(count) / slotClass.longer[count]
}

// roomNow is the number of requests that may be under way at once: one more than the best as long as it isn't known what that does.
func (slotClass *slotClass) roomNow() int {
	if slotClass.trying() {
		return slotClass.next()
	}
	return slotClass.room
}

// trying reports whether one request more than the best number may be under way to find out.
func (slotClass *slotClass) trying() bool {
	next := slotClass.next()
	return slotClass.concurrency.learns && next > slotClass.room && slotClass.told[next] < concurrencyKnown && slotClass.trials < concurrencyTrials
}

// next is one request more than the best number, as far as there are slots.
func (slotClass *slotClass) next() int {
	return min(slotClass.room+1, len(slotClass.longer)-1)
}

// times is how many times longer a request takes that starts as the given one.
func (slotClass *slotClass) times(count int) clock.Milliseconds {
	return clock.Milliseconds(slotClass.longer[min(max(count, 0), len(slotClass.longer)-1)])
}

// learn takes the time of a request that started on a fast target.
func (slotClass *slotClass) learn(flight *flight, work, held clock.Milliseconds) {
	count := min(flight.first, len(slotClass.longer)-1)
	if !slotClass.concurrency.learns || slotClass.unhindered(count) || flight.peak > flight.first {
		return
	}
	slotClass.told[count]++
	slotClass.longer[count] += concurrencyWeight * (min(float64(held/work), mostOutlying) - slotClass.longer[count])
	slotClass.setRoom()
}
