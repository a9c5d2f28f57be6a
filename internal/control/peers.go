package control

import (
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"

	"github.com/jaywheel/jaywheel/internal/instance"
	"github.com/jaywheel/jaywheel/internal/platform"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Events of peers.
const (
	EventPeerSuspected = "peer.suspected"
	EventPeerBack      = "peer.back"
	EventPeerUnknown   = "peer.notListed"
	EventPeerReplayed  = "peer.oldDatagram"
	EventListApplied   = "list.applied"
)

// peerState is what is known of another entry instance.
type peerState struct {
	record      platform.Instance
	address     netip.AddrPort
	lastHeard   clock.Moment
	incarnation instance.Incarnation
	sequence    instance.Sequence
	digest      instance.Digest
	leaving     bool
	suspected   bool
}

// heartbeatState is the sending side.
type heartbeatState struct {
	sequence instance.Sequence
	next     clock.Moment
	// order are the targets that heartbeats speak of, cursor the one whose turn is next.
	order  []instance.TargetKey
	cursor int
	// first are targets whose news go before the others'.
	first []instance.TargetKey
	// fullUntil is the moment until which heartbeats are filled, because a peer has just started.
	fullUntil clock.Moment
}

// restedTargets is how many targets a heartbeat speaks of when nothing has changed. What was told before is only told
// again in case a datagram was lost; filled ones would take three times the bytes.
const restedTargets = 2

// urgentRepeats is how often news are told first: a few datagrams in a row may be lost.
const urgentRepeats = 4

// urgent puts a target first in the next heartbeats.
func (heartbeatState *heartbeatState) urgent(key instance.TargetKey) {
	for range urgentRepeats {
		heartbeatState.first = append(heartbeatState.first, key)
	}
}

// keyOf hashes a target's name.
func keyOf(serviceName settings.ServiceName, target settings.TargetName) instance.TargetKey {
	hash := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(serviceName))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(target))
	return instance.TargetKey(hash.Sum64())
}

// apply takes a new list. An index that went back is taken too: a platform that was set up anew counts from the start.
func (read listRead) apply(controller *Controller) {
	controller.list = read.list
	controller.options.Registry.Events.Add(EventListApplied, 1)
	now := controller.options.Clock.Now()
	listed := map[settings.InstanceName]bool{}
	for _, record := range read.list.Instances {
		name := settings.InstanceName(record.Name)
		if record.Kind != platform.KindEntry || name == controller.options.Name {
			continue
		}
		listed[name] = true
		controller.listPeer(now, name, record)
	}
	maps.DeleteFunc(controller.peers, func(name settings.InstanceName, _ *peerState) bool { return !listed[name] })
	controller.publish()
}

func (controller *Controller) listPeer(now clock.Moment, name settings.InstanceName, record platform.Instance) {
	peer, known := controller.peers[name]
	if !known {
		// A peer that was just listed has not had time to be heard.
		peer = &peerState{lastHeard: now}
		controller.peers[name] = peer
	}
	peer.record = record
	// The client has checked that it can be read.
	peer.address = netip.MustParseAddrPort(record.PeerAddress)
}

// eligibleInstances are the entry instances that callers may be sent to.
func (controller *Controller) eligibleInstances() []routing.Instance {
	ignoreSuspicion := controller.suspectsMost()
	var eligible []routing.Instance
	for _, record := range controller.list.Instances {
		if record.Kind == platform.KindEntry && controller.takesWork(record) && controller.vouchesFor(record, ignoreSuspicion) {
			eligible = append(eligible, routing.Instance{
				Name: settings.InstanceName(record.Name), Address: record.Address, DataCentre: record.DataCentre,
			})
		}
	}
	return eligible
}

func (controller *Controller) vouchesFor(record platform.Instance, ignoreSuspicion bool) bool {
	name := settings.InstanceName(record.Name)
	if name == controller.options.Name {
		return !controller.leaving
	}
	peer, known := controller.peers[name]
	return !known || !peer.leaving && (ignoreSuspicion || !peer.suspected)
}

// suspectsMost reports whether more than half of the peers seem silent. Then this instance is more likely to be the one
// that is cut off, and sending all callers to the few it hears would topple them; so suspicion counts for nothing.
func (controller *Controller) suspectsMost() bool {
	suspected := 0
	for _, peer := range controller.peers {
		if peer.suspected {
			suspected++
		}
	}
	return 2*suspected > len(controller.peers)
}

// reviewPeers suspects those that have been silent for too long.
func (controller *Controller) reviewPeers(now clock.Moment) {
	changed := false
	for name, peer := range controller.peers {
		suspected := now.Since(peer.lastHeard) > controller.paced(controller.site.Fleet.SuspectAfter)
		if suspected == peer.suspected {
			continue
		}
		peer.suspected = suspected
		changed = true
		event := EventPeerBack
		if suspected {
			event = EventPeerSuspected
		}
		controller.options.Registry.Events.Add(event, 1)
		controller.options.Log.Info().Str("peer", string(name)).Bool("suspected", suspected).Msg("peer")
	}
	if changed {
		controller.publish()
	}
}

// apply takes a heartbeat. One that is not newer than the last is a copy, sent again by the network or by someone who
// recorded it, and would undo what was said since.
func (received heartbeatReceived) apply(controller *Controller) {
	heartbeat := received.heartbeat
	peer, known := controller.peers[heartbeat.From]
	if !known {
		controller.options.Registry.Events.Add(EventPeerUnknown, 1)
		return
	}
	older := heartbeat.Incarnation < peer.incarnation
	if older || heartbeat.Incarnation == peer.incarnation && heartbeat.Sequence <= peer.sequence {
		controller.options.Registry.Events.Add(EventPeerReplayed, 1)
		return
	}
	if heartbeat.Incarnation != peer.incarnation {
		controller.peerStarted()
	}
	peer.incarnation = heartbeat.Incarnation
	peer.sequence = heartbeat.Sequence
	peer.digest = heartbeat.Digest
	peer.lastHeard = controller.options.Clock.Now()
	controller.learnTargets(heartbeat.Targets)
	if peer.leaving != heartbeat.Leaving {
		peer.leaving = heartbeat.Leaving
		controller.options.Log.Info().Str("peer", string(heartbeat.From)).Bool("leaving", peer.leaving).Msg("peer")
		controller.publish()
	}
}

// peerStarted has the next heartbeats filled, so that a peer that has just started learns what is warm.
func (controller *Controller) peerStarted() {
	now := controller.options.Clock.Now()
	if controller.firstHeard == 0 {
		controller.firstHeard = now
	}
	controller.heartbeat.fullUntil = now.Add(controller.tellingTakes())
}

// learnTargets takes peers' word on which targets are warm. The owner's word counts always, save against this
// instance's own ownership; anyone else's only for servers that were there before this instance was.
func (controller *Controller) learnTargets(news []instance.TargetNews) {
	if len(news) == 0 {
		return
	}
	now := controller.options.Clock.Now()
	told := make(map[instance.TargetKey]instance.TargetNews, len(news))
	for _, entry := range news {
		told[entry.Target] = entry
	}
	for _, state := range controller.services {
		for name, target := range state.targets {
			if entry, known := told[target.key]; known {
				controller.learnTarget(now, target, entry)
				controller.setLimit(now, state, name, target)
			}
		}
	}
}

func (controller *Controller) learnTarget(now clock.Moment, target *targetState, entry instance.TargetNews) {
	switch {
	case entry.Owned && !target.owned && entry.Warm:
		target.phase = phaseWarm
	case entry.Owned && !target.owned:
		target.phase = phaseCold
	case entry.Warm && target.phase == phaseUnknown && target.early && controller.learning(now):
		target.phase = phaseWarm
	}
}

// peersAtFullPace is the number of peers up to which heartbeats go at the pace of the settings: 14 peers, 3.3 datagrams a
// second and 135 bytes each, both ways, are 12.6 KB/s of the 13 KB/s that a node may spend.
const peersAtFullPace = 14

// paced stretches a length of time by the number of peers, so that what an instance spends on heartbeats does not grow
// with the fleet.
func (controller *Controller) paced(length clock.Milliseconds) clock.Milliseconds {
	return length * max(1, clock.Milliseconds(len(controller.peers))/peersAtFullPace)
}

// sendHeartbeats sends one datagram to each peer when it is time.
func (controller *Controller) sendHeartbeats(now clock.Moment, atOnce bool) {
	if controller.site == nil || now < controller.heartbeat.next && !atOnce {
		return
	}
	controller.heartbeat.next = now.Add(controller.paced(controller.site.Fleet.HeartbeatInterval))
	controller.heartbeat.sequence++
	heartbeat := instance.Heartbeat{
		From:        controller.options.Name,
		Incarnation: controller.options.Incarnation,
		Sequence:    controller.heartbeat.sequence,
		Leaving:     controller.leaving,
		Digest:      controller.digest(),
		Targets:     controller.targetNews(now),
	}
	for _, peer := range controller.peers {
		controller.options.Send(peer.address, heartbeat)
	}
}

// targetNews picks the targets that the next heartbeat speaks of: those that have just changed, then the others in
// turn. An instance speaks of the services that it serves.
func (controller *Controller) targetNews(now clock.Moment) []instance.TargetNews {
	known := map[instance.TargetKey]*targetState{}
	for _, state := range controller.services {
		if !controller.serves(state) {
			continue
		}
		for _, target := range state.targets {
			known[target.key] = target
		}
	}
	heartbeat := &controller.heartbeat
	if len(heartbeat.order) != len(known) || heartbeat.cursor >= len(heartbeat.order) {
		heartbeat.order = slices.Sorted(maps.Keys(known))
		heartbeat.cursor = 0
	}
	news := heartbeat.takeFirst(known)
	most := restedTargets
	if now < heartbeat.fullUntil {
		most = instance.TargetsMost
	}
	for len(news) < most && heartbeat.cursor < len(heartbeat.order) {
		news = appendNews(news, known, heartbeat.order[heartbeat.cursor])
		heartbeat.cursor++
	}
	return news
}

// takeFirst tells the targets whose news go first, each once in a heartbeat.
func (heartbeatState *heartbeatState) takeFirst(known map[instance.TargetKey]*targetState) []instance.TargetNews {
	var news []instance.TargetNews
	var later []instance.TargetKey
	told := map[instance.TargetKey]bool{}
	for _, key := range heartbeatState.first {
		if told[key] || len(news) == instance.TargetsMost {
			later = append(later, key)
			continue
		}
		told[key] = true
		news = appendNews(news, known, key)
	}
	heartbeatState.first = later
	return news
}

// appendNews adds what is known of one target; of an unknown phase there is nothing to tell.
func appendNews(news []instance.TargetNews, known map[instance.TargetKey]*targetState, key instance.TargetKey) []instance.TargetNews {
	target, found := known[key]
	if !found || target.phase == phaseUnknown {
		return news
	}
	return append(news, instance.TargetNews{Target: key, Warm: target.phase == phaseWarm, Owned: target.owned})
}

// digest stands for the revisions of all settings in force.
func (controller *Controller) digest() instance.Digest {
	hash := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte{byte(controller.site.Revision), byte(controller.site.Revision >> 8), byte(controller.site.Revision >> 16)})
	for _, name := range slices.Sorted(maps.Keys(controller.services)) {
		revision := controller.services[name].settings.Revision
		_, _ = hash.Write([]byte(name))
		_, _ = hash.Write([]byte{byte(revision), byte(revision >> 8), byte(revision >> 16)})
	}
	return instance.Digest(hash.Sum64())
}
