package gateway

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// IsErrAddressUnavailable reports whether err says that an address can't be bound yet: it is in use, for example by a predecessor that
// drains, or its network interface is not up.
func IsErrAddressUnavailable(err error) bool {
	return errors.Is(err, unix.EADDRINUSE) || errors.Is(err, unix.EADDRNOTAVAIL)
}

// CheckAddresses returns an error, for which IsErrAddressUnavailable reports true, that names an address that can't be bound yet. It
// never listens, so that no caller connects to an instance that waits for its other addresses. New reports other errors.
func CheckAddresses(gatewaySettings *settings.Gateway) error {
	checks := []struct {
		name, address string
		socketType    int
	}{
		// gnet shares the port for datagrams with other sockets of the same user: a predecessor would receive some of them.
		{"datagrams", gatewaySettings.PeerAddress, unix.SOCK_DGRAM},
		{"callers", gatewaySettings.CallerAddress, unix.SOCK_STREAM},
		{"directory", gatewaySettings.DirectoryAddress, unix.SOCK_STREAM},
		{"readiness", gatewaySettings.ReadyAddress, unix.SOCK_STREAM},
		{"peers", gatewaySettings.PeerAddress, unix.SOCK_STREAM},
		{"operators", gatewaySettings.OperatorAddress, unix.SOCK_STREAM},
	}
	for _, check := range checks {
		if err := checkAddress(check.address, check.socketType); IsErrAddressUnavailable(err) {
			return errors.Wrapf(err, "bind %s for %s", check.address, check.name)
		}
	}
	return nil
}

// checkAddress binds a socket to the address and closes it.
func checkAddress(address string, socketType int) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	family, socketAddress := unix.AF_INET6, unix.Sockaddr(&unix.SockaddrInet6{Port: int(parsed.Port()), Addr: parsed.Addr().As16()})
	if parsed.Addr().Unmap().Is4() {
		family, socketAddress = unix.AF_INET, &unix.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().Unmap().As4()}
	}
	descriptor, err := unix.Socket(family, socketType|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer func() {
		// The socket carries nothing.
		_ = unix.Close(descriptor)
	}()
	if socketType == unix.SOCK_STREAM {
		// As for a listener, connections of a predecessor that are being closed do not keep the address.
		if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
			return err
		}
	}
	return unix.Bind(descriptor, socketAddress)
}
