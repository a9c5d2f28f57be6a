package fleet

import (
	"math"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// limitedServer is the number of the limited server, which is in the borrower's data centre.
const limitedServer = 3

// limitedTarget returns the limited server.
func (fixture *fixture) limitedTarget() *catalog.Server {
	return fixture.controller.view.Servers.Find(targetName(limitedServer))
}

// newBorrower returns a standby instance that knows the limit of a server.
func newBorrower(t *testing.T) *fixture {
	fixture := newStandbyFixture(t, 24, 6)
	target := fixture.limitedTarget()
	fixture.controller.RecordProbe(sensing.Result{Service: target.Service, Target: target.Name, Health: sensing.Health{
		Healthy: true, LoadReading: warmReading(fixture.clock.Now()),
		Statement: service.Statement{At: fixture.clock.Now(), Limit: service.RateLimitStatement{Named: true, Rate: 1}},
	}})
	return fixture
}

// tokens returns the number of requests that the instance may send to its limited server.
func (fixture *fixture) tokens() int {
	for _, state := range fixture.controller.services {
		targets, _ := state.scheduler.State()
		for _, target := range targets {
			if target.RateLimit != nil {
				return int(target.Tokens)
			}
		}
	}
	return -1
}

// Guards against a loan that counts twice because its datagram is received twice, or that counts although it was meant for an earlier
// process at the address of the instance, or comes from a process that is not known.
func TestLoanCountsOnce(t *testing.T) {
	const lenderIncarnation = 1
	cases := []struct {
		name     string
		messages []LoansMessage
		tokens   int
	}{
		{"one loan", []LoansMessage{{Recipient: 1, Sequence: 1}}, 1},
		{"received twice", []LoansMessage{{Recipient: 1, Sequence: 1}, {Recipient: 1, Sequence: 1}}, 1},
		{"two loans", []LoansMessage{{Recipient: 1, Sequence: 1}, {Recipient: 1, Sequence: 2}}, 2},
		{"overtaken by a later one", []LoansMessage{{Recipient: 1, Sequence: 2}, {Recipient: 1, Sequence: 1}}, 1},
		{"for an earlier process", []LoansMessage{{Recipient: 2, Sequence: 1}}, 0},
		{"from an earlier process of the lender", []LoansMessage{{Recipient: 1, Sequence: 1, Incarnation: 9}}, 0},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newBorrower(t)
			for index := range testCase.messages {
				message := &testCase.messages[index]
				message.Sender, message.Answer = identity(0).Name, true
				if message.Incarnation == 0 {
					message.Incarnation = lenderIncarnation
				}
				message.Servers = []SharedServerLoan{{Target: keyOf(fixture.limitedTarget().Name), Tokens: 1}}
				fixture.controller.receiveMessage(&Message{Loans: message})
			}
			require.Equal(t, testCase.tokens, fixture.tokens())
		})
	}
}

// Guards against a borrowed token that is used long after it was lent: the lender's bucket has been filled again by then.
func TestLoanExpires(t *testing.T) {
	fixture := newBorrower(t)
	lend := func(sequence uint64) {
		fixture.controller.receiveMessage(&Message{Loans: &LoansMessage{
			Sender: identity(0).Name, Incarnation: 1, Recipient: 1, Sequence: sequence, Answer: true,
			Servers: []SharedServerLoan{{Target: keyOf(fixture.limitedTarget().Name), Tokens: 1}},
		}})
	}
	lend(1)
	require.Equal(t, 1, fixture.tokens())
	fixture.advance(clock.Second)
	require.Zero(t, fixture.tokens())
	lend(2)
	require.Equal(t, 1, fixture.tokens())
	fixture.controller.services[fixture.limitedTarget().Service].scheduler.DiscardReadings()
	require.Zero(t, fixture.tokens(), "the machine was suspended")
}

// Guards against an instance that waits for loans of one that does not answer although others serve.
func TestLoansAreRequestedFromAnotherLender(t *testing.T) {
	fixture := newBorrower(t)
	asked := map[string]bool{}
	fixture.controller.options.Send = func(to netip.AddrPort, text []byte) {
		if message, err := Decode(text); err == nil && message.Loans != nil {
			require.False(t, message.Loans.Answer)
			asked[to.String()] = true
		}
	}
	for range 40 {
		fixture.advance(standbyTickInterval)
		for number := range fixture.serving {
			fixture.receiveHeartbeat(number, membership.Serving, 1)
		}
		now := fixture.clock.Now()
		permit, pending, err := fixture.controller.services[fixture.limitedTarget().Service].scheduler.AcquireOrEnqueue(service.PermitRequest{
			Class: "class-0", SoftDeadline: now.Add(clock.Second), Deadline: now.Add(clock.Second),
		})
		if pending != nil {
			permit, err = pending.Cancel()
		}
		if err == nil {
			permit.Release(service.Cancelled)
		}
		fixture.controller.tick()
	}
	const counting = 3
	require.Len(t, asked, counting, "of four that serve")
}

// Guards against loans that are changed by the transmission, do not fit into one packet, or are taken for something else by an instance
// of an earlier release.
func TestLoansRoundTrip(t *testing.T) {
	message := LoansMessage{Sender: "front-sofia-a-100", Incarnation: math.MaxUint64, Recipient: math.MaxUint64, Sequence: math.MaxUint64, Answer: true}
	for range maxLoansPerDatagram {
		message.Servers = append(message.Servers, SharedServerLoan{Target: math.MaxUint32, Started: 1700000000000, Tokens: 1, Returned: math.MaxUint16, Unknown: true})
	}
	text, err := Encode(&Message{Loans: &message})
	require.NoError(t, err)
	require.Less(t, len(text), 1300)
	decoded, err := Decode(text)
	require.NoError(t, err)
	require.Equal(t, &message, decoded.Loans)
	require.Error(t, decoding.Unmarshal(text, &Message{}))
	require.Equal(t, byte(loansMessageStart), text[0])
}
