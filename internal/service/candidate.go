package service

import (
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Offer is what the control goroutine says of a target that a Scheduler may use.
type Offer struct {
	Name       settings.TargetName
	Address    string
	DataCentre settings.DataCentreName
	// Slots is the number of requests it runs at once.
	Slots int
	// Local says that it lies in this instance's own data centre.
	Local bool
	// Owned says that this instance answers for it: it alone starts it while it is cold.
	Owned bool
	// Usable is false while the target is leaving or its data centre is out: it keeps its record and gets nothing.
	Usable bool
	// ColdRate is the number of requests a second that it bears while cold.
	ColdRate float64
	// ColdFor is how long it stays cold, as far as it is known when it is first offered.
	ColdFor clock.Milliseconds
	// Started changes when it starts anew under its name.
	Started int64
}

// Failures.
const (
	// firstAvoidance is how long a target is avoided after a first failure; it doubles with each in a row, up to
	// mostDoublings times: 100 ms to 3.2 s. A target that crashed is back within seconds, one that shed is free sooner.
	firstAvoidance = 100 * clock.Millisecond
	// failureWeight is the weight of one request in the moving average of failures: some ten requests tell a target
	// that fails a part of them from one that failed once.
	failureWeight = 0.1
	// failureCosts is how many times the usual work a failure costs: the time until it is noticed and the attempt that
	// follows.
	failureCosts = 3.0
)

// Room on a target.
const (
	// sharedRoom is the room above which half of it is left to the target's owner. Instances that fill a target without
	// knowing of each other slotClass it, and all that is on it slows down.
	sharedRoom = 2
	// silentShare is the room on a target that doesn't tell its load which is left to those that don't own it.
	silentShare = 1
	// othersFade is how long what others had in flight on a target is taken to last after a reading.
	othersFade = clock.Second
	// staleReading is the age after which a reading tells nothing any more: the target may have become cold or gone.
	staleReading = 1500 * clock.Millisecond
	// coldBurst is how many requests may go to a cold target at once.
	coldBurst = 1.0
	// coldMargin is the part of what a cold target bears that is used. While views of the fleet differ two instances may
	// take a target for theirs, and the two together must not break it.
	coldMargin = 0.8
	// takeoverWait is how long a new owner leaves a cold target alone: the owner before may still be sending to it, and an
	// instance that is cut off finds out how little of the fleet it sees only after 3.2 s, of which 0.9 s have passed when the
	// servers of another one become its own.
	takeoverWait = 2500 * clock.Millisecond
)

// candidate is one target of a Scheduler. Fields that each choice needs come first.
type candidate struct {
	filing filing

	// Target is who it is. Traffic reads it without the lock, so it is replaced and never changed.
	*Target

	// own counts the requests under way from here, flights holds them.
	own     int
	flights []*flight
	// ownAtReading is what this instance itself had in flight there at the reading.
	ownAtReading int
	// coldShare and concurrency are the scheduler's, slotClass is what that knows of targets with as many slots.
	coldShare   *float64
	concurrency *concurrency
	slotClass   *slotClass
	// reading is the newest one, read tells whether there is any.
	reading Reading
	read    bool
	// tells says that it has told its load at least once.
	tells bool
	// down says that probes find nobody there.
	down bool
	// coldUntil is when it is warm.
	coldUntil clock.Moment
	// ownedFrom is when this instance may start sending to it while it is cold.
	ownedFrom clock.Moment
	// tokens are the requests that a cold target may get now, filled up at tokensAt.
	tokens   float64
	tokensAt clock.Moment
	// avoidUntil, inARow and failRate follow from failures.
	avoidUntil clock.Moment
	inARow     int
	failRate   float64

	// cadence is when its slowness may change.
	cadence cadence
	offer   Offer
	// spells is how slow it was of late.
	spells spells
	// learningFrom is since when it is probed densely to learn that.
	learningFrom clock.Moment
}

// observe takes a reading unless a newer one is known.
func (candidate *candidate) observe(reading Reading) {
	if candidate.read && reading.At < candidate.reading.At {
		return
	}
	candidate.tells = candidate.tells || reading.Tells()
	if reading.ColdKnown {
		candidate.coldUntil = reading.At.Add(reading.ColdFor)
	}
	if reading.Slots <= 0 {
		reading.Slots = candidate.offer.Slots
	}
	if reading.Period > 0 {
		candidate.cadence.set(reading.At.Add(reading.SteadyFor), reading.Period)
	} else {
		learnt := candidate.cadence.period > 0
		candidate.cadence.observe(reading)
		if learnt && candidate.cadence.period == 0 {
			candidate.learningFrom = reading.At.Add(relearnFor - learnFor)
		}
	}
	if reading.Slowdown <= 0 {
		reading.Slowdown = 1
	}
	if candidate.cadence.period > 0 {
		candidate.spells.note(&candidate.cadence, reading)
	}
	candidate.reading = reading
	candidate.read = true
	candidate.ownAtReading = candidate.own
	candidate.notePeak(reading.Running + reading.Waiting)
}

// takeOff counts a request that starts there as the given one.
func (candidate *candidate) takeOff(started *flight, count int) {
	started.first, started.peak = count, count
	candidate.own++
	candidate.flights = append(candidate.flights, started)
	candidate.notePeak(count)
}

// land counts a request that has ended there, and reports whether it was known.
func (candidate *candidate) land(ended *flight) bool {
	candidate.own--
	position := slices.Index(candidate.flights, ended)
	if position < 0 {
		return false
	}
	candidate.flights = slices.Delete(candidate.flights, position, position+1)
	return true
}

// notePeak tells the requests under way how many there are.
func (candidate *candidate) notePeak(count int) {
	for _, flight := range candidate.flights {
		flight.peak = max(flight.peak, count)
	}
}

// others estimates what others have in flight there: what the reading told, less what has ended since on average.
func (candidate *candidate) others(now clock.Moment) int {
	age := now.Since(candidate.reading.At)
	if !candidate.read || age > othersFade {
		return 0
	}
	return int(float64(candidate.othersTold())*float64(1-age/othersFade) + 0.5)
}

// othersTold is what others had in flight there when it told.
func (candidate *candidate) othersTold() int {
	return max(candidate.reading.Running+candidate.reading.Waiting-candidate.ownAtReading, 0)
}

// room is the number of requests that may be in flight there at once.
func (candidate *candidate) room() int {
	return candidate.slotClass.roomNow()
}

// cold reports whether the target bears only its cold rate, or may.
func (candidate *candidate) cold(now clock.Moment) bool {
	return now < candidate.coldUntil || candidate.offer.Owned && candidate.stale(now)
}

// stale reports whether so long nothing was heard of the target that it may have turned cold meanwhile.
func (candidate *candidate) stale(now clock.Moment) bool {
	return !candidate.read || now.Since(candidate.reading.At) > staleReading
}

// mayStart reports whether one more request may be sent to a cold target now.
func (candidate *candidate) mayStart(now clock.Moment) bool {
	if !candidate.offer.Owned || now < candidate.ownedFrom {
		return false
	}
	candidate.refill(now)
	return candidate.tokens >= 1
}

// coldRate is the number of requests a second that this instance may send there while it is cold.
func (candidate *candidate) coldRate() float64 {
	return candidate.offer.ColdRate * coldMargin * *candidate.coldShare
}

// startsAt is when a cold target may get one more request, never if it may already.
func (candidate *candidate) startsAt(now clock.Moment) clock.Moment {
	candidate.refill(now)
	if candidate.tokens >= 1 {
		return never
	}
	return now.Add(clock.Milliseconds((1-candidate.tokens)/candidate.coldRate()) * clock.Second)
}

func (candidate *candidate) refill(now clock.Moment) {
	earned := float64(now.Since(candidate.tokensAt)/clock.Second) * candidate.coldRate()
	candidate.tokens = min(candidate.tokens+earned, coldBurst)
	candidate.tokensAt = now
}

// share is the part of the room that this instance may fill. What others have in flight on a target is known from what it tells; on one
// that tells nothing each instance keeps to a part of its own, or together they would send it more than it can queue.
func (candidate *candidate) share(room int) int {
	switch {
	case !candidate.read || candidate.tells:
		if !candidate.offer.Owned && room > sharedRoom {
			return (room + 1) / 2
		}
		return room
	case candidate.offer.Owned:
		return max(room-silentShare, 1)
	default:
		return min(room, silentShare)
	}
}

// open reports whether a request may be sent there now.
func (candidate *candidate) open(now clock.Moment, despiteFailures bool) bool {
	return candidate.openWith(now, candidate.room(), despiteFailures)
}

// openWith reports whether a request may be sent there now if the given number may be in flight at once.
func (candidate *candidate) openWith(now clock.Moment, room int, despiteFailures bool) bool {
	if !candidate.offer.Usable || candidate.down {
		return false
	}
	if !despiteFailures && candidate.inARow >= failuresUntilThrottled || candidate.stale(now) {
		// Nothing is known of it, or nothing good; one request at a time does no harm and tells more.
		room = 1
	}
	if candidate.own+candidate.others(now) >= candidate.share(room) {
		return false
	}
	if !despiteFailures && now < candidate.avoidUntil {
		return false
	}
	return !candidate.cold(now) || candidate.mayStart(now)
}

// fail counts a failed request.
func (candidate *candidate) fail(now clock.Moment) {
	candidate.failRate += failureWeight * (1 - candidate.failRate)
	candidate.inARow++
	doublings := min(candidate.inARow-1, maxPenaltyDoublings)
	candidate.avoidUntil = now.Add(firstAvoidance * clock.Milliseconds(int(1)<<doublings))
}

// succeed counts a request that went well.
func (candidate *candidate) succeed() {
	candidate.failRate -= failureWeight * candidate.failRate
	candidate.inARow = 0
	candidate.avoidUntil = 0
}
