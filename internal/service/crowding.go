package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// crowding learns how much longer requests take on targets that run many others. Some targets slow down before their last slots are
// taken, so that a full one gets less done than one with a slot or two left; others don't, and what is left free there is lost.
// Targets are told apart by their number of slots.
//
// What is learnt is how many times longer a request takes that starts as the first, the second and so on of those that a target
// runs. Up to half of the slots that is taken to be once. A request that sees more of them later tells nothing: whether what came later
// held it up is not known.
type crowding struct {
	bySlots map[int]*crowd
	crowds  []*crowd
	// learns says that what requests take tells of the crowd with which they started.
	learns bool
}

// crowd is what is known of targets with one number of slots.
type crowd struct {
	crowding *crowding
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
	// leastCrowded is the least number of slots with which a target is thought to slow down at all.
	leastCrowded = 3
	// clearGain is how many times more must get done for the room to change.
	clearGain = 1.1
	// crowdWeight is the weight of one request.
	crowdWeight = 0.1
	// crowdKnown is the number of requests from which a figure counts as known. Until then crowdTrials at a time find out.
	crowdKnown  = 12
	crowdTrials = 2
)

// of returns what is known of targets with the given number of slots.
func (crowding *crowding) of(slots int) *crowd {
	slots = max(slots, 1)
	if known, found := crowding.bySlots[slots]; found {
		return known
	}
	fresh := &crowd{crowding: crowding, longer: make([]float64, slots+1), told: make([]int, slots+1), targets: make([]int, slots+2)}
	for count := range fresh.longer {
		fresh.longer[count] = 1
		if float64(count) > nearlyFull*float64(slots) && !fresh.uncrowded(count) {
			fresh.longer[count] = nearlyFullLonger
		}
	}
	fresh.setRoom()
	fresh.filedRoom = fresh.room
	crowding.crowds = append(crowding.crowds, fresh)
	if crowding.bySlots == nil {
		crowding.bySlots = map[int]*crowd{}
	}
	crowding.bySlots[slots] = fresh
	return fresh
}

// uncrowded reports whether so few requests are taken not to hold each other up.
func (crowd *crowd) uncrowded(count int) bool {
	slots := len(crowd.longer) - 1
	return slots < leastCrowded || count <= (slots+1)/2
}

// setRoom finds the number of requests at once with which the most gets done, by Little's law their number by the time of each. It
// changes only for a clear gain.
func (crowd *crowd) setRoom() {
	best := crowd.room
	for count := 1; count < len(crowd.longer); count++ {
		if crowd.done(count) > crowd.done(best) {
			best = count
		}
	}
	if crowd.room == 0 || crowd.done(best) > clearGain*crowd.done(crowd.room) {
		crowd.room = best
	}
}

// done is how much the target gets done with the given number of requests at once.
func (crowd *crowd) done(count int) float64 {
	return float64(count) / crowd.longer[count]
}

// roomNow is the number of requests that may be under way at once: one more than the best as long as it isn't known what that does.
func (crowd *crowd) roomNow() int {
	if crowd.trying() {
		return crowd.next()
	}
	return crowd.room
}

// trying reports whether one request more than the best number may be under way to find out.
func (crowd *crowd) trying() bool {
	next := crowd.next()
	return crowd.crowding.learns && next > crowd.room && crowd.told[next] < crowdKnown && crowd.trials < crowdTrials
}

// next is one request more than the best number, as far as there are slots.
func (crowd *crowd) next() int {
	return min(crowd.room+1, len(crowd.longer)-1)
}

// times is how many times longer a request takes that starts as the given one.
func (crowd *crowd) times(count int) clock.Milliseconds {
	return clock.Milliseconds(crowd.longer[min(max(count, 0), len(crowd.longer)-1)])
}

// learn takes the time of a request that started on a calm target.
func (crowd *crowd) learn(flight *flight, work, held clock.Milliseconds) {
	count := min(flight.first, len(crowd.longer)-1)
	if !crowd.crowding.learns || crowd.uncrowded(count) || flight.peak > flight.first {
		return
	}
	crowd.told[count]++
	crowd.longer[count] += crowdWeight * (min(float64(held/work), mostOutlying) - crowd.longer[count])
	crowd.setRoom()
}
