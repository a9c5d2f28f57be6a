package linger

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// pair returns both ends of a connection. The receive buffer of the first one is small.
func pair(t *testing.T) (*net.TCPConn, *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	const receiveBuffer = 8 << 10
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	peer, err := dialer.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		peer.Close()
		accepted.Close()
	})
	require.NoError(t, peer.SetDeadline(time.Now().Add(time.Minute)))
	require.NoError(t, accepted.SetDeadline(time.Now().Add(time.Minute)))
	return peer.(*net.TCPConn), accepted.(*net.TCPConn) //nolint:forcetypeassert // TCP was dialed.
}

// Guards against a response that is cut off because its connection is closed with requests unread, or receives some afterwards.
func TestPeerReceivesWhatWasSent(t *testing.T) {
	cases := []struct {
		name          string
		before, after string
	}{
		{"nothing unread", "", ""},
		{"a request unread", "request", ""},
		{"a request that arrives later", "", "request"},
		{"both", "request", "request"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			peer, accepted := pair(t)
			response := bytes.Repeat([]byte("0123456789"), 30000)
			require.NoError(t, accepted.SetWriteBuffer(2*len(response)))
			_, err := io.WriteString(peer, testCase.before)
			require.NoError(t, err)
			_, err = accepted.Write(response)
			require.NoError(t, err)
			require.True(t, Needed(accepted))
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				Wait(accepted, Options{MaxStall: 10 * clock.Second})
				accepted.Close()
			}()
			received := make([]byte, len(response)/2)
			_, err = io.ReadFull(peer, received)
			require.NoError(t, err)
			_, err = io.WriteString(peer, testCase.after)
			require.NoError(t, err)
			rest, err := io.ReadAll(peer)
			require.NoError(t, err)
			require.True(t, bytes.Equal(response, append(received, rest...)))
			peer.Close()
			<-closed
		})
	}
}

// Guards against connections that stay open although their peer has left, or has received everything.
func TestWaitEndsWithThePeer(t *testing.T) {
	cases := []struct {
		name string
		end  func(*net.TCPConn) error
	}{
		{"closes", (*net.TCPConn).Close},
		{"closes its sending side", (*net.TCPConn).CloseWrite},
		{"resets", func(peer *net.TCPConn) error {
			if err := peer.SetLinger(0); err != nil {
				return err
			}
			return peer.Close()
		}},
		{"stays", func(*net.TCPConn) error { return nil }},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			peer, accepted := pair(t)
			_, err := io.WriteString(accepted, "response")
			require.NoError(t, err)
			require.NoError(t, testCase.end(peer))
			Wait(accepted, Options{MaxStall: 10 * clock.Second})
		})
	}
}

// Guards against a wait that ends while the peer still receives, and one that a peer prolongs without end.
func TestWaitDecides(t *testing.T) {
	type step struct {
		at     clock.Milliseconds
		sent   bool
		unsent int
		ended  bool
	}
	const maxStall = 10 * clock.Second
	cases := []struct {
		name  string
		steps []step
	}{
		{"a slow link", []step{{50, false, 500000, false}, {5000, false, 300000, false}, {14000, false, 1, false}, {15000, false, 0, false}, {15501, false, 0, true}}},
		{"a peer that receives nothing", []step{{50, false, 500000, false}, {10000, true, 500000, false}, {10051, true, 500000, true}}},
		{"a peer that has received everything", []step{{50, false, 0, false}, {550, false, 0, false}, {551, false, 0, true}}},
		{"a peer that sends a body", []step{{50, true, 0, false}, {500, true, 0, false}, {1000, true, 0, false}, {1501, false, 0, true}}},
		{"a peer that sends without end", []step{
			{50, true, 0, false}, {500, true, 0, false}, {1000, true, 0, false}, {1500, true, 0, false}, {2000, true, 0, false}, {2051, true, 0, true},
		}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			began := time.Now()
			wait := newWait(began, Options{MaxStall: maxStall})
			for _, step := range testCase.steps {
				require.Equal(t, step.ended, wait.ended(began.Add(step.at.Duration()), step.sent, step.unsent), "after %s", step.at)
			}
		})
	}
}
