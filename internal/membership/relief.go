package membership

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Parameters of relief. An instance that can do no more while others can, because its machine has become slow or its callers use more than
// others, is left out of address answers for a while.
const (
	// reliefDelay is how long an instance must be fully used first. Callers are to be sent elsewhere within two seconds; half of one is the
	// time over which utilization is averaged.
	reliefDelay = 500 * clock.Millisecond
	// minRelief is how long relief lasts at first: callers keep an address answer for 1.5 s, and some three times as long. It doubles up to
	// maxRelief each time that the instance is fully used again within reliefMemory.
	minRelief    = 5 * clock.Second
	maxRelief    = clock.Minute
	reliefMemory = 30 * clock.Second
)

// relief is whether callers are sent to other instances than this one.
type relief struct {
	// fullSince is since when the instance has been fully used, 0 while it is not.
	fullSince clock.Moment
	// until is the end of the last relief, length its duration.
	until  clock.Moment
	length clock.Milliseconds
}

// active reports whether callers are sent to others.
func (relief *relief) active(now clock.Moment) bool {
	return now < relief.until
}

// updateRelief begins the relief of this instance if it can do no more and the other serving instances can take over its callers.
func (members *Members) updateRelief(now clock.Moment) {
	relief := &members.load.relief
	switch {
	case members.load.utilization < FullUtilization || relief.active(now):
		relief.fullSince = 0
	case relief.fullSince == 0:
		relief.fullSince = now
	case now.Since(relief.fullSince) >= reliefDelay && members.othersCanTakeOver(now):
		length := minRelief
		if relief.until > 0 && now.Since(relief.until) < reliefMemory {
			length = min(2*relief.length, maxRelief)
		}
		relief.fullSince, relief.length, relief.until = 0, length, now.Add(length)
		for _, member := range members.roster.all {
			member.nextLoadReport = 0
		}
	}
}

// othersCanTakeOver reports whether the other serving instances stay below maxServingUtilization if they share the callers of this one.
// Each serving instance gets an equal part, so that this one's part is that of the others. Instances that are relieved take nothing.
func (members *Members) othersCanTakeOver(now clock.Moment) bool {
	count, highest := 0, Utilization(0)
	for _, peer := range members.ServingPeers() {
		if !peer.load.current(now) {
			return false
		}
		if peer.load.relieved {
			continue
		}
		count++
		highest = max(highest, peer.load.utilization)
	}
	return count > 0 && int(highest)*(count+1) <= maxServingUtilization*count
}

// current reports whether the report is not out of date.
func (reportedLoad *reportedLoad) current(now clock.Moment) bool {
	return reportedLoad.receivedAt > 0 && now.Since(reportedLoad.receivedAt) < loadReportTimeout
}

// Relieved reports whether callers should be sent to other instances than the given serving one.
func (members *Members) Relieved(name settings.InstanceName) bool {
	now := members.options.Clock.Now()
	if name == members.options.Self.Name {
		return members.load.relief.active(now)
	}
	member, known := members.roster.byName[name]
	return known && member.load.relieved && member.load.current(now)
}
