package fleet

import (
	"slices"

	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// addressBook is the content of address answers.
type addressBook struct {
	addresses []string
	ttl       clock.Milliseconds
}

// addressTTL is how long callers may keep an address answer. An instance that dies is removed from answers after a second, so
// that a caller uses a wrong address for two seconds at most.
const addressTTL = 1500 * clock.Millisecond

// startingAddressTTL is how long callers may keep an answer that was given before any instance serves.
const startingAddressTTL = 400 * clock.Millisecond

// advertised returns the serving instances that address answers contain. An instance in an evacuated data centre owns no
// server that accepts requests, and may use only the permits that the owners of the other servers leave free: its callers would
// wait and be refused while there are free permits for callers of the other instances. It is advertised only if there is no other
// instance.
//
// The same holds for an isolated instance, whose requests have to be relayed, and for one that can do no more while others can.
func (controller *Controller) advertised() []membership.Identity {
	if controller.view == nil {
		return controller.serving
	}
	reaching := slices.DeleteFunc(slices.Clone(controller.serving), func(identity membership.Identity) bool { return controller.isIsolated(identity.Name) })
	if len(reaching) == 0 {
		reaching = controller.serving
	}
	advertised := make([]membership.Identity, 0, len(reaching))
	for _, identity := range reaching {
		if !controller.view.IsEvacuated(identity.DataCentre) {
			advertised = append(advertised, identity)
		}
	}
	if len(advertised) == 0 {
		advertised = reaching
	}
	unrelieved := slices.DeleteFunc(slices.Clone(advertised), func(identity membership.Identity) bool { return controller.members.Relieved(identity.Name) })
	if len(unrelieved) == 0 {
		return advertised
	}
	return unrelieved
}

// updateRelieved publishes the addresses again when an instance is relieved or no longer.
func (controller *Controller) updateRelieved() {
	var relieved []settings.InstanceName
	for _, identity := range controller.serving {
		if controller.members.Relieved(identity.Name) {
			relieved = append(relieved, identity.Name)
		}
	}
	if slices.Equal(relieved, controller.relieved) {
		return
	}
	controller.relieved = relieved
	level := zerolog.DebugLevel
	if controller.members.State() == membership.Serving {
		level = zerolog.InfoLevel
	}
	controller.options.Log.WithLevel(level).Interface("relieved", relieved).Int("utilizationPermille", int(controller.members.Utilization())).
		Msg("serving instances left out of address answers, because they can do no more")
	controller.publishAddresses()
}

func (controller *Controller) publishAddresses() {
	book := &addressBook{ttl: min(addressTTL, controller.options.Bounds.MaxAddressTTL)}
	for _, identity := range controller.advertised() {
		book.addresses = append(book.addresses, identity.Caller)
	}
	if len(book.addresses) == 0 {
		// Right after a whole fleet has started no instance serves yet; any present instance with routes is better than no answer.
		book.addresses = controller.members.CandidateAddresses()
		book.ttl = min(startingAddressTTL, book.ttl)
	}
	slices.Sort(book.addresses)
	before := controller.book.Swap(book)
	if before == nil || !slices.Equal(before.addresses, book.addresses) {
		level := zerolog.DebugLevel
		if controller.members.State() == membership.Serving {
			level = zerolog.InfoLevel
		}
		controller.options.Log.WithLevel(level).Strs("addresses", book.addresses).Msg("addresses given to callers")
	}
}

// Addresses returns the addresses to which callers should connect, and how long they may keep the answer.
func (controller *Controller) Addresses() ([]string, clock.Milliseconds) {
	book := controller.book.Load()
	if book == nil {
		return nil, 0
	}
	return book.addresses, book.ttl
}
