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
	EventPeerSuspected   = "peer.suspected"
	EventPeerRecovered   = "peer.back"
	EventPeerNotListed   = "peer.notListed"
	EventPeerOldDatagram = "peer.oldDatagram"
	EventListApplied     = "list.applied"
)

// peerState is the state of another entry instance.
type peerState struct {
	record        platform.Instance
	address       netip.AddrPort
	lastHeartbeat clock.Moment
	incarnation   instance.Incarnation
	sequence      instance.Sequence
	digest        instance.Digest
	leaving       bool
	suspected     bool
}

// heartbeatState is the state for sending heartbeats.
type heartbeatState struct {
	sequence instance.Sequence
	nextSend clock.Moment
	// order has the targets that heartbeats report in turn, and cursor is the index of the next one.
	order  []instance.TargetKey
	cursor int
	// priority has recently changed targets, which are reported before the others.
	priority []instance.TargetKey
	// fullUntil is the moment until which heartbeats carry as many targets as fit, because a peer has just started.
	fullUntil clock.Moment
}

// unchangedTargetsPerHeartbeat is how many targets a heartbeat reports when nothing has changed. Unchanged targets are
// repeated only in case a datagram was lost; full datagrams would take three times the bytes.
const unchangedTargetsPerHeartbeat = 2

// priorityRepeats is how many heartbeats report a changed target first: several datagrams in a row may be lost.
const priorityRepeats = 4

// prioritize puts a target first in the next heartbeats.
func (heartbeatState *heartbeatState) prioritize(key instance.TargetKey) {
	for range priorityRepeats {
		heartbeatState.priority = append(heartbeatState.priority, key)
	}
}

// keyOf hashes the names of a service and a target.
func keyOf(serviceName settings.ServiceName, target settings.TargetName) instance.TargetKey {
	hash := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(serviceName))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(target))
	return instance.TargetKey(hash.Sum64())
}

// apply replaces the list of instances. A list with a lower index is accepted too, since a platform that was reinstalled
// starts again at the first index.
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
		// A peer that was just listed has not had time to send a heartbeat.
		peer = &peerState{lastHeartbeat: now}
		controller.peers[name] = peer
	}
	peer.record = record
	// The platform client has validated the address.
	peer.address = netip.MustParseAddrPort(record.PeerAddress)
}

// eligibleInstances returns the entry instances whose addresses may be given to callers.
func (controller *Controller) eligibleInstances() []routing.Instance {
	ignoreSuspicion := controller.suspectsMajority()
	var eligible []routing.Instance
	for _, record := range controller.list.Instances {
		if record.Kind == platform.KindEntry && controller.acceptsTraffic(record) && controller.isEligible(record, ignoreSuspicion) {
			eligible = append(eligible, routing.Instance{
				Name: settings.InstanceName(record.Name), Address: record.Address, DataCentre: record.DataCentre,
			})
		}
	}
	return eligible
}

// isEligible reports whether an entry instance neither leaves nor is suspected. Suspicions are ignored if ignoreSuspicion is
// set.
func (controller *Controller) isEligible(record platform.Instance, ignoreSuspicion bool) bool {
	name := settings.InstanceName(record.Name)
	if name == controller.options.Name {
		return !controller.leaving
	}
	peer, known := controller.peers[name]
	return !known || !peer.leaving && (ignoreSuspicion || !peer.suspected)
}

// suspectsMajority reports whether more than half of the peers are suspected. In that case this instance is more likely to
// be partitioned itself, and sending all callers to the few reachable peers would overload them. Suspicions are then ignored.
func (controller *Controller) suspectsMajority() bool {
	suspected := 0
	for _, peer := range controller.peers {
		if peer.suspected {
			suspected++
		}
	}
	return 2*suspected > len(controller.peers)
}

// updateSuspicions marks peers as suspected that have sent no heartbeat for too long, and clears the mark of the others.
func (controller *Controller) updateSuspicions(now clock.Moment) {
	changed := false
	for name, peer := range controller.peers {
		suspected := now.Since(peer.lastHeartbeat) > controller.scaleByFleetSize(controller.site.Fleet.SuspectAfter)
		if suspected == peer.suspected {
			continue
		}
		peer.suspected = suspected
		changed = true
		event := EventPeerRecovered
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

// apply processes a heartbeat. A heartbeat that is not newer than the last one is dropped: it is a duplicate from the
// network or a replay by an attacker, and would revert newer state.
func (received heartbeatReceived) apply(controller *Controller) {
	heartbeat := received.heartbeat
	peer, known := controller.peers[heartbeat.From]
	if !known {
		controller.options.Registry.Events.Add(EventPeerNotListed, 1)
		return
	}
	olderIncarnation := heartbeat.Incarnation < peer.incarnation
	if olderIncarnation || heartbeat.Incarnation == peer.incarnation && heartbeat.Sequence <= peer.sequence {
		controller.options.Registry.Events.Add(EventPeerOldDatagram, 1)
		return
	}
	if heartbeat.Incarnation != peer.incarnation {
		controller.handlePeerStart()
	}
	peer.incarnation = heartbeat.Incarnation
	peer.sequence = heartbeat.Sequence
	peer.digest = heartbeat.Digest
	peer.lastHeartbeat = controller.options.Clock.Now()
	controller.applyPeerTargets(heartbeat.Targets)
	if peer.leaving != heartbeat.Leaving {
		peer.leaving = heartbeat.Leaving
		controller.options.Log.Info().Str("peer", string(heartbeat.From)).Bool("leaving", peer.leaving).Msg("peer")
		controller.publish()
	}
}

// handlePeerStart makes this instance send full heartbeats for a while, so that a peer that has just started learns which
// targets are warm.
func (controller *Controller) handlePeerStart() {
	now := controller.options.Clock.Now()
	if controller.firstHeartbeat == 0 {
		controller.firstHeartbeat = now
	}
	controller.heartbeat.fullUntil = now.Add(controller.targetSyncDuration())
}

// applyPeerTargets updates the targets from a peer's heartbeat. The phase reported by an owner is accepted unless this
// instance owns the target itself. Other peers' reports are accepted only during the learning period, for targets of unknown
// phase that were present at the start of this instance.
func (controller *Controller) applyPeerTargets(statuses []instance.TargetStatus) {
	if len(statuses) == 0 {
		return
	}
	now := controller.options.Clock.Now()
	reported := make(map[instance.TargetKey]instance.TargetStatus, len(statuses))
	for _, entry := range statuses {
		reported[entry.Target] = entry
	}
	for _, state := range controller.services {
		for name, target := range state.targets {
			if entry, known := reported[target.key]; known {
				controller.applyPeerTarget(now, target, entry)
				controller.setLimit(now, state, name, target)
			}
		}
	}
}

func (controller *Controller) applyPeerTarget(now clock.Moment, target *targetState, entry instance.TargetStatus) {
	switch {
	case entry.Owned && !target.owned && entry.Warm:
		target.phase = phaseWarm
	case entry.Owned && !target.owned:
		target.phase = phaseCold
	case entry.Warm && target.phase == phaseUnknown && target.presentAtStart && controller.inLearningPeriod(now):
		target.phase = phaseWarm
	}
}

// maxPeersAtFullRate is the number of peers up to which heartbeats are sent at the rate in the settings: 14 peers with 3.3
// datagrams per second of 135 bytes each, in both directions, take 12.6 KB/s of a node's budget of 13 KB/s.
const maxPeersAtFullRate = 14

// scaleByFleetSize lengthens a time in proportion to the number of peers beyond maxPeersAtFullRate, so that an instance's
// heartbeat traffic does not grow with the fleet.
func (controller *Controller) scaleByFleetSize(length clock.Milliseconds) clock.Milliseconds {
	return length * max(1, clock.Milliseconds(len(controller.peers))/maxPeersAtFullRate)
}

// sendHeartbeats sends a heartbeat to each peer when it is due, or immediately.
func (controller *Controller) sendHeartbeats(now clock.Moment, immediately bool) {
	if controller.site == nil || now < controller.heartbeat.nextSend && !immediately {
		return
	}
	controller.heartbeat.nextSend = now.Add(controller.scaleByFleetSize(controller.site.Fleet.HeartbeatInterval))
	controller.heartbeat.sequence++
	heartbeat := instance.Heartbeat{
		From:        controller.options.Name,
		Incarnation: controller.options.Incarnation,
		Sequence:    controller.heartbeat.sequence,
		Leaving:     controller.leaving,
		Digest:      controller.digest(),
		Targets:     controller.targetsToSend(now),
	}
	for _, peer := range controller.peers {
		controller.options.Send(peer.address, heartbeat)
	}
}

// targetsToSend selects the targets that the next heartbeat reports: first those that have just changed, then the others in
// turn. An instance reports only targets of the services that it serves.
func (controller *Controller) targetsToSend(now clock.Moment) []instance.TargetStatus {
	known := map[instance.TargetKey]*targetState{}
	for _, state := range controller.services {
		if !controller.isServing(state) {
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
	statuses := heartbeat.takePriority(known)
	maxTargets := unchangedTargetsPerHeartbeat
	if now < heartbeat.fullUntil {
		maxTargets = instance.MaxTargets
	}
	for len(statuses) < maxTargets && heartbeat.cursor < len(heartbeat.order) {
		statuses = appendTarget(statuses, known, heartbeat.order[heartbeat.cursor])
		heartbeat.cursor++
	}
	return statuses
}

// takePriority removes the targets for one heartbeat from the priority list, each at most once, and returns their statuses.
func (heartbeatState *heartbeatState) takePriority(known map[instance.TargetKey]*targetState) []instance.TargetStatus {
	var statuses []instance.TargetStatus
	var later []instance.TargetKey
	added := map[instance.TargetKey]bool{}
	for _, key := range heartbeatState.priority {
		if added[key] || len(statuses) == instance.MaxTargets {
			later = append(later, key)
			continue
		}
		added[key] = true
		statuses = appendTarget(statuses, known, key)
	}
	heartbeatState.priority = later
	return statuses
}

// appendTarget appends a target's status, unless its phase is unknown.
func appendTarget(statuses []instance.TargetStatus, known map[instance.TargetKey]*targetState, key instance.TargetKey) []instance.TargetStatus {
	target, found := known[key]
	if !found || target.phase == phaseUnknown {
		return statuses
	}
	return append(statuses, instance.TargetStatus{Target: key, Warm: target.phase == phaseWarm, Owned: target.owned})
}

// digest hashes the revisions of all documents in force.
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
