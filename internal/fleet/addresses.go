package fleet

import (
	"slices"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// addressBook is what address answers come from.
type addressBook struct {
	all  []string
	kept clock.Milliseconds
}

// answerKept is how long callers may keep an address answer. An instance that dies is out of answers after a second, so
// that a caller is at the wrong address for two seconds at most.
const answerKept = 1500 * clock.Millisecond

// answerKeptStarting is how long an answer may be kept that was given before anyone serves.
const answerKeptStarting = 400 * clock.Millisecond

// named are the serving instances that callers are told of. One whose data centre is out owns no server that takes work, and may fill
// only what the owners of the others leave to it: its callers would wait and be refused while there is room for those of the
// rest. It is named only if there is no other.
func (controller *Controller) named() []membership.Identity {
	if controller.view == nil {
		return controller.serving
	}
	named := make([]membership.Identity, 0, len(controller.serving))
	for _, identity := range controller.serving {
		if !controller.view.IsOut(identity.DataCentre) {
			named = append(named, identity)
		}
	}
	if len(named) == 0 {
		return controller.serving
	}
	return named
}

func (controller *Controller) publishAddresses() {
	book := &addressBook{kept: min(answerKept, controller.options.Bounds.MaxAddressTTL)}
	for _, identity := range controller.named() {
		book.all = append(book.all, identity.Caller)
	}
	if len(book.all) == 0 {
		// Right after all have started nobody serves yet; whoever is there and knows the routes is better than no answer.
		book.all = controller.members.CandidateAddresses()
		book.kept = min(answerKeptStarting, book.kept)
	}
	slices.Sort(book.all)
	controller.book.Store(book)
}

// Addresses returns where callers should connect, and how long they may keep the answer.
func (controller *Controller) Addresses() ([]string, clock.Milliseconds) {
	book := controller.book.Load()
	if book == nil {
		return nil, 0
	}
	return book.all, book.kept
}
