package fleet

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// ErrNoPeer says that no other serving instance is known.
var ErrNoPeer = errors.New("no other serving instance is known")

// errNoView says that this instance has read nothing yet.
var errNoView = errors.New("nothing has been read yet")

// Update returns what this instance has read after a revision, for another one that can't read it itself.
func (controller *Controller) Update(ctx context.Context, after catalog.Revision) (catalog.Update, error) {
	update, err := ask(ctx, controller, func(controller *Controller) *catalog.Update {
		if controller.view == nil {
			return nil
		}
		update := controller.history.UpdateSince(after)
		update.RetainedFor = controller.heldFor()
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

// heldLeast is the least time after which a peer asks again for a view with servers that may only have lapsed.
const heldLeast = 100 * clock.Millisecond

// heldFor is the time after which the view may change although the store's revision does not.
func (controller *Controller) heldFor() clock.Milliseconds {
	if controller.view.RetainedUntil == 0 {
		return 0
	}
	return max(controller.view.RetainedUntil.Since(controller.options.Clock.Now()), heldLeast)
}

// updateTimeout bounds asking a peer for what has changed since a revision: a few backend servers, mostly.
const updateTimeout = 400 * clock.Millisecond

// FromPeer has the instance asked whose view is worth asking for, by the given call. One that does not answer is left alone for a while.
func (controller *Controller) FromPeer(
	ctx context.Context, after catalog.Revision, read func(context.Context, netip.AddrPort, catalog.Revision) (catalog.Update, error),
) (catalog.Update, error) {
	address, err := controller.freshAddress(ctx)
	if err != nil {
		return catalog.Update{}, err
	}
	calling := ctx
	if after > 0 {
		var cancel context.CancelFunc
		calling, cancel = context.WithTimeout(ctx, updateTimeout.Duration())
		defer cancel()
	}
	update, err := read(calling, address, after)
	if err == nil {
		return update, nil
	}
	return update, errors.CombineErrors(err, controller.post(ctx, func(controller *Controller) { controller.members.SetUnreachable(address) }))
}

// freshAddress is where the instance is whose view is worth asking for, whether it serves or not: the store may turn away just those
// that serve. The error is ErrNoPeer.
func (controller *Controller) freshAddress(ctx context.Context) (netip.AddrPort, error) {
	address, err := ask(ctx, controller, func(controller *Controller) netip.AddrPort {
		if best := controller.freshPeer(); best != nil {
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

// freshPeer is one of the own data centre if that has anything new, since bytes between data centres are charged; another
// has the newest configuration, or else the newest view of all, of a peer that reads the store itself if there is one.
func (controller *Controller) freshPeer() *membership.Member {
	var own, best *membership.Member
	var newest catalog.Version
	for _, peer := range controller.members.Reachable() {
		newest = max(newest, peer.Version)
		if best == nil || peer.Revision > best.Revision || peer.Revision == best.Revision && peer.CatalogFresh && !best.CatalogFresh {
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
