package service

import (
	"math"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// A choice among many targets compares some of them: those that are open and on which requests are expected to take the least time.
// Targets are filed for that whenever something that matters has changed: a request starts or ends on them, they tell something, they
// are offered anew or found to be down. What changes by time alone, such as the end of a spell, has a timer.
//
// Filing only says which targets are compared: whether the chosen one is open is asked again.

// filing is where a candidate is filed.
type filing struct {
	entry levelEntry[candidate]
	// outlook and shared are what is predicted from until it is filed anew: they lie beside the entry, so that comparing it touches
	// little memory.
	outlook outlook
	shared  float64
	slow    bool
	// index lists it, nil when it is closed; fast is the count of open targets that aren't slow in which it is contained, nil for none.
	index *phasedIndex
	phase int
	fast  *int
	// slotClass counts it by the number of requests there, taken, nil while it isn't in use.
	slotClass *slotClass
	taken     int
	// change is when it must be filed anew.
	change timer[candidate]
}

// openness is for which requests a target is open.
type openness int

const (
	openToAll openness = iota
	// openDespiteFailures takes requests that find no other target.
	openDespiteFailures
	opennesses
)

// openTargets lists open targets, those of the own data centre and the others.
type openTargets struct {
	near, far [opennesses]phasedIndex
	// fast is the number of them that aren't slow.
	fast int
}

// phases is the number of parts of a period by which targets are told apart.
const phases = 16

// phasedIndex lists targets by the part of a period in which their slowness may change, those of which that isn't known in the last
// list, and each part by how many times longer than usual requests take there.
type phasedIndex struct {
	// notEmpty has a bit for each list that holds any.
	notEmpty uint32
	lists    [phases + 1]levelIndex[candidate]
}

// phaseOf is the part of a period in which a moment lies.
func phaseOf(at clock.Moment, period clock.Milliseconds) int {
	if period == 0 {
		return phases
	}
	turns := float64(at) / float64(period)
	return min(int((turns-math.Floor(turns))*phases), phases-1)
}

const (
	// levelsPerDoubling makes neighbouring levels differ by 4 percent, and the last one begin at 11 times longer than usual.
	levelsPerDoubling = 18
	// refileFade is how often a target without a cadence is filed anew while its reading loses its worth.
	refileFade = spellLength / 4
	// tiniest keeps a moment that was worked out a rounding error too early from being due again at once.
	tiniest = 1e-3 * clock.Millisecond
)

// file files a candidate by what holds now.
func (scheduler *Scheduler) file(now clock.Moment, candidate *candidate) {
	filing := &candidate.filing
	filing.outlook = candidate.outlookAt(now, scheduler.meanSlowdown)
	filing.slow = candidate.slow(now)
	scheduler.fileTaken(now, candidate)
	if change := candidate.changesAt(now); change == never {
		scheduler.changes.remove(&filing.change)
	} else {
		scheduler.changes.set(&filing.change, max(change, now.Add(tiniest)))
	}
}

// fileTaken files a candidate of which nothing has changed but how many requests are there. One that is cold also needs a timer.
func (scheduler *Scheduler) fileTaken(now clock.Moment, candidate *candidate) {
	filing := &candidate.filing
	taken := candidate.own + candidate.others(now)
	filing.shared = candidate.sharedBy(taken, candidate.slotClass.room)
	if candidate.offer.Usable && !candidate.down {
		filing.count(candidate.slotClass, taken)
	} else {
		filing.count(nil, 0)
	}
	open, openness := scheduler.openBy(now, candidate, taken)
	switch {
	case open == nil || len(scheduler.ordered) <= compareAll:
		filing.list(nil, 0)
	case candidate.offer.Local:
		filing.list(&open.near[openness], phaseOf(candidate.cadence.boundary, candidate.cadence.period))
	default:
		filing.list(&open.far[openness], phaseOf(candidate.cadence.boundary, candidate.cadence.period))
	}
	if open == nil || filing.slow {
		filing.countFast(nil)
	} else {
		filing.countFast(&open.fast)
	}
}

// fileEnded files a candidate on which a request has ended, and all if that has changed how many a target runs well.
func (scheduler *Scheduler) fileEnded(now clock.Moment, candidate *candidate, result Result) {
	slotClass := candidate.slotClass
	switch {
	case slotClass.filedRoom != slotClass.room:
		slotClass.filedRoom = slotClass.room
		scheduler.fileAll(now)
	case result == Failed:
		scheduler.file(now, candidate)
	default:
		scheduler.fileTaken(now, candidate)
	}
}

// fileAll files all candidates anew.
func (scheduler *Scheduler) fileAll(now clock.Moment) {
	for _, candidate := range scheduler.ordered {
		scheduler.file(now, candidate)
	}
}

// unfile takes a candidate out that is forgotten.
func (scheduler *Scheduler) unfile(candidate *candidate) {
	candidate.filing.list(nil, 0)
	candidate.filing.countFast(nil)
	candidate.filing.count(nil, 0)
	scheduler.changes.remove(&candidate.filing.change)
}

// refresh files those anew for which time has changed something.
func (scheduler *Scheduler) refresh(now clock.Moment) {
	for first := scheduler.changes.due(now); first != nil; first = scheduler.changes.due(now) {
		scheduler.file(now, first)
	}
}

// list puts the candidate on the list of the phase, or on none.
func (filing *filing) list(index *phasedIndex, phase int) {
	if filing.index != nil && (filing.index != index || filing.phase != phase) {
		filing.index.move(filing.phase, &filing.entry, notIndexed)
	}
	filing.index, filing.phase = index, phase
	if index != nil {
		index.move(phase, &filing.entry, filing.level())
	}
}

func (phasedIndex *phasedIndex) move(phase int, entry *levelEntry[candidate], level int) {
	list := &phasedIndex.lists[phase]
	list.move(entry, level)
	if list.notEmpty == 0 {
		phasedIndex.notEmpty &^= 1 << phase
	} else {
		phasedIndex.notEmpty |= 1 << phase
	}
}

func (filing *filing) countFast(fast *int) {
	if filing.fast == fast {
		return
	}
	if filing.fast != nil {
		*filing.fast--
	}
	if fast != nil {
		*fast++
	}
	filing.fast = fast
}

func (filing *filing) count(slotClass *slotClass, taken int) {
	if slotClass != nil {
		taken = min(max(taken, 0), len(slotClass.targets)-1)
	}
	if filing.slotClass == slotClass && filing.taken == taken {
		return
	}
	if filing.slotClass != nil {
		filing.slotClass.targets[filing.taken]--
	}
	if slotClass != nil {
		slotClass.targets[taken]++
	}
	filing.slotClass, filing.taken = slotClass, taken
}

// openBy returns the list of open targets to which the candidate belongs, nil when it is closed. One that is open only while
// its slotClass finds out about one more request has a list of its own, for that begins and ends with any request.
func (scheduler *Scheduler) openBy(now clock.Moment, candidate *candidate, taken int) (*openTargets, openness) {
	slotClass := candidate.slotClass
	switch next := slotClass.next(); {
	case !candidate.offer.Usable || candidate.down || taken >= candidate.share(next):
		return nil, openToAll
	case candidate.openWith(now, slotClass.room, false):
		return &scheduler.open, openToAll
	case candidate.openWith(now, next, false):
		return &slotClass.open, openToAll
	case candidate.openWith(now, slotClass.room, true):
		return &scheduler.open, openDespiteFailures
	case candidate.openWith(now, next, true):
		return &slotClass.open, openDespiteFailures
	}
	return nil, openToAll
}

// level is by how many times longer than usual requests take there, as they are compared.
func (filing *filing) level() int {
	times := float64(filing.outlook.slowdown) + 2/(1+longTimes)*filing.shared
	if times <= 1 {
		return 0
	}
	return min(int(levelsPerDoubling*math.Log2(times)), bucketCount-1)
}

// changesAt is the next moment at which the passing of time may change how the candidate is filed.
func (candidate *candidate) changesAt(now clock.Moment) clock.Moment {
	next := never
	until := func(at clock.Moment) {
		if now < at {
			next = min(next, at)
		}
	}
	until(candidate.coldUntil)
	until(candidate.avoidUntil)
	until(candidate.ownedFrom)
	if candidate.offer.Owned && now >= candidate.ownedFrom && candidate.cold(now) {
		next = min(next, candidate.startsAt(now))
	}
	if !candidate.read || candidate.stale(now) {
		return next
	}
	read := candidate.reading.At
	until(read.Add(staleReading + tiniest))
	if others := candidate.others(now); others > 0 {
		next = min(next, read.Add(othersFade*clock.Milliseconds(1-(float64(others)-0.5)/float64(candidate.othersTold()))))
	}
	cadence := &candidate.cadence
	if cadence.period == 0 {
		if faded := read.Add(spellLength); now < faded {
			next = min(next, faded, now.Add(refileFade))
		}
		return next
	}
	switch since := cadence.spell(now) - cadence.spell(read); {
	case since <= 0:
		until(now.Add(cadence.until(now)))
	case since == 1:
		until(now.Add(loadReadingDelay - cadence.since(now)))
	}
	return next
}
