package fleet

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// ErrNoPeer is returned if no other instance is known whose view could be read.
var ErrNoPeer = errors.New("no other instance with a view is known")

// errNoView is returned while this instance has no view of the catalog.
var errNoView = errors.New("this instance has no view of the catalog yet")

// UpdateSince returns the changes of the catalog after a revision, for a peer that does not get them from the store. The error is that
// of the context, or says that this instance has no view yet.
func (controller *Controller) UpdateSince(ctx context.Context, after catalog.Revision) (catalog.Update, error) {
	update, err := query(ctx, controller, func(controller *Controller) *catalog.Update {
		if controller.view == nil {
			return nil
		}
		update := controller.history.UpdateSince(after)
		update.RetainedFor = controller.retainedFor()
		return &update
	})
	if err != nil {
		return catalog.Update{}, err
	}
	if update == nil {
		return catalog.Update{}, errNoView
	}
	return *update, nil
}

// minRetainedFor is the minimum time after which a peer requests a view again that contains servers whose entries may only have
// lapsed.
const minRetainedFor = 100 * clock.Millisecond

// retainedFor returns the time after which the view may change although the revision of the store does not, or 0 if it does not
// change.
func (controller *Controller) retainedFor() clock.Milliseconds {
	if controller.view.RetainedUntil == 0 {
		return 0
	}
	return max(controller.view.RetainedUntil.Since(controller.options.Clock.Now()), minRetainedFor)
}

// secondPeerDelay is the time without an answer after which the changes since a revision, which are mostly a few backend servers,
// are requested from a second peer as well. The first request goes on: on a full link every answer takes longer.
const secondPeerDelay = 400 * clock.Millisecond

// peerUpdate is the answer of a peer, or the error of the request to it.
type peerUpdate struct {
	address netip.AddrPort
	update  catalog.Update
	err     error
}

// FetchFromPeer reads the changes after a revision from the peer with the freshest view, by the given function. A peer whose
// request fails or takes long is avoided for a while. The error is ErrNoPeer if no such peer is known.
func (controller *Controller) FetchFromPeer(
	ctx context.Context, after catalog.Revision, read func(context.Context, netip.AddrPort, catalog.Revision) (catalog.Update, error),
) (catalog.Update, error) {
	first, err := controller.freshestPeerAddress(ctx)
	if err != nil {
		return catalog.Update{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan peerUpdate, 2)
	request := func(address netip.AddrPort) {
		answer := peerUpdate{address: address}
		if err := controller.options.Guard.Run("peer request", func() { answer.update, answer.err = read(ctx, address, after) }); err != nil {
			answer.err = err
		}
		answers <- answer
	}
	go request(first)
	pending := 1
	var late <-chan time.Time
	if after > 0 {
		timer := time.NewTimer(secondPeerDelay.Duration())
		defer timer.Stop()
		late = timer.C
	}
	for {
		select {
		case answer := <-answers:
			pending--
			if answer.err == nil {
				return answer.update, nil
			}
			err = errors.CombineErrors(answer.err, controller.avoidPeer(ctx, answer.address))
			if pending == 0 {
				return catalog.Update{}, err
			}
		case <-late:
			if second, found := controller.otherPeerAddress(ctx, first); found {
				pending++
				go request(second)
			}
		}
	}
}

// otherPeerAddress avoids a peer and returns the address of another one, if there is one.
func (controller *Controller) otherPeerAddress(ctx context.Context, slow netip.AddrPort) (netip.AddrPort, bool) {
	if controller.avoidPeer(ctx, slow) != nil {
		return netip.AddrPort{}, false
	}
	address, err := controller.freshestPeerAddress(ctx)
	return address, err == nil && address != slow
}

// avoidPeer avoids a peer for a while.
func (controller *Controller) avoidPeer(ctx context.Context, address netip.AddrPort) error {
	return controller.post(ctx, func(controller *Controller) { controller.members.SetUnreachable(address) })
}

// freshestPeerAddress returns the address of the peer whose view is to be read, whether it serves or not: the store may refuse
// the calls of exactly the instances that serve. The error is ErrNoPeer if no such peer is known.
func (controller *Controller) freshestPeerAddress(ctx context.Context) (netip.AddrPort, error) {
	address, err := query(ctx, controller, func(controller *Controller) netip.AddrPort {
		if best := controller.freshestPeer(); best != nil {
			return best.Address
		}
		return netip.AddrPort{}
	})
	if err != nil {
		return netip.AddrPort{}, err
	}
	if !address.IsValid() {
		return netip.AddrPort{}, ErrNoPeer
	}
	return address, nil
}

// freshestPeer returns a peer of the own data centre if it has a newer view, since bytes between data centres are charged,
// unless another peer has a newer configuration. Otherwise it returns the peer with the newest view of all, preferably the one
// that the store has answered for the longest time: one that it has just begun to answer again may retain servers that are gone.
func (controller *Controller) freshestPeer() *membership.Member {
	var own, best *membership.Member
	var newest catalog.Version
	for _, peer := range controller.members.Reachable() {
		newest = max(newest, peer.Version)
		if best == nil || peer.Revision > best.Revision || peer.Revision == best.Revision && fresher(peer, best) {
			best = peer
		}
		if peer.Identity.DataCentre == controller.options.Self.DataCentre && (own == nil || peer.Revision > own.Revision) {
			own = peer
		}
	}
	if own != nil && own.Version == newest && (controller.view == nil || own.Revision > controller.view.Revision) {
		return own
	}
	return best
}

// fresher reports whether the store has answered a peer for longer than another one.
func fresher(peer, other *membership.Member) bool {
	return peer.CatalogFresh && (!other.CatalogFresh || peer.FreshSince < other.FreshSince)
}
