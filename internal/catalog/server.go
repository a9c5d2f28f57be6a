package catalog

import (
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// ErrOutOfRange means that a value is missing or that no server or operator can have meant it.
var ErrOutOfRange = errors.New("value out of range")

// Ranges of the fields of a Server. Other writers than servers may write entries, and an entry outside these ranges names no server to use.
const (
	// MaxNameLength is the maximum length of a name in bytes. Keys of the store, which contain names, are not longer.
	MaxNameLength = 200
	// MaxSlots is the maximum number of slots: a server with more would need more memory for its requests than a machine has.
	MaxSlots = 1_000_000
	// MaxColdFor is the maximum time for which a server stays cold. Servers are cold for seconds, and one that was cold for longer than this
	// would never get its share of the requests.
	MaxColdFor = 60 * clock.Minute
	// MaxStarted is the maximum start time, in milliseconds: JSON numbers are exact up to it, so two start times do not become one.
	MaxStarted = 1 << 53
)

// Validate returns ErrOutOfRange if the server cannot be used.
func (server *Server) Validate() error {
	names := [...]struct{ field, value string }{
		{"name", string(server.Name)}, {"service", string(server.Service)}, {"data centre", string(server.DataCentre)},
	}
	for _, name := range names {
		if !validName(name.value) {
			return errors.Wrapf(ErrOutOfRange, "%s has %d bytes or is not a name", name.field, len(name.value))
		}
	}
	switch {
	case server.State != ServerReady && server.State != ServerLeaving:
		return errors.Wrap(ErrOutOfRange, "state is unknown")
	case server.Slots < 1 || server.Slots > MaxSlots:
		return errors.Wrapf(ErrOutOfRange, "%d slots", server.Slots)
	case server.Started < 0 || server.Started > MaxStarted:
		return errors.Wrapf(ErrOutOfRange, "start time %d", server.Started)
	}
	// NaN fails the comparisons, so it is out of range.
	if inRange := server.ColdFor >= 0 && server.ColdFor <= MaxColdFor; !inRange {
		return errors.Wrapf(ErrOutOfRange, "cold for %g ms", float64(server.ColdFor))
	}
	return validateAddress(server.Address)
}

// validName reports whether a text is a name that can be sent in a header and logged.
func validName(text string) bool {
	isControl := func(character rune) bool { return character < ' ' || character == '\x7f' }
	return text != "" && len(text) <= MaxNameLength && !strings.ContainsFunc(text, isControl)
}

// maxAddressLength is the maximum length of an IP address with a port.
const maxAddressLength = len("[ffff:ffff:ffff:ffff:ffff:ffff:255.255.255.255]:65535")

// validateAddress returns ErrOutOfRange unless the text is an IP address and a port to which a connection can be opened.
func validateAddress(text string) error {
	if len(text) > maxAddressLength {
		return errors.Wrapf(ErrOutOfRange, "address has %d bytes", len(text))
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Wrapf(ErrOutOfRange, "address: %v", err)
	}
	ip := address.Addr().Unmap()
	broadcast := netip.AddrFrom4([4]byte{255, 255, 255, 255})
	if address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" || ip == broadcast {
		return errors.Wrapf(ErrOutOfRange, "address %s", text)
	}
	return nil
}
