package fleet

import (
	"hash/fnv"
	"math"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/quota"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// maxLoansPerDatagram is the maximum number of loans in a datagram: at about 18 bytes each they fit into one packet.
	maxLoansPerDatagram = 40
	// loanSequenceRetention is how long the sequence number of a sender is kept.
	loanSequenceRetention = 10 * clock.Second
	// lenderTimeout is the time without an answer after which loans are requested from another instance.
	lenderTimeout = 400 * clock.Millisecond
)

// lendingState is the state of borrowing and lending tokens of fleet-wide limits.
type lendingState struct {
	// sequence is that of the last message sent, received are those of the last messages of others.
	sequence uint64
	received map[membership.Incarnation]loanSequence
	// skip is the number of instances passed over because they did not answer.
	skip int
	// askedAt is when loans were first requested since the last answer, 0 if none is due.
	askedAt clock.Moment
}

type loanSequence struct {
	last uint64
	at   clock.Moment
}

// isNew records a message of a sender and reports whether it is newer than all earlier ones.
func (lendingState *lendingState) isNew(now clock.Moment, message *LoansMessage) bool {
	if message.Sequence <= lendingState.received[message.Incarnation].last {
		return false
	}
	lendingState.received[message.Incarnation] = loanSequence{last: message.Sequence, at: now}
	return true
}

// forgetOldSequences forgets the senders of which nothing came for long.
func (lendingState *lendingState) forgetOldSequences(now clock.Moment) {
	for sender, sequence := range lendingState.received {
		if now.Since(sequence.at) > loanSequenceRetention {
			delete(lendingState.received, sender)
		}
	}
}

// lender returns the instance from which this one borrows: all borrowers of a fleet are spread over those that count.
func (controller *Controller) lender(now clock.Moment) (*membership.Member, bool) {
	peers, _ := controller.members.Counting()
	if len(peers) == 0 {
		return nil, false
	}
	if asked := controller.lending.askedAt; asked > 0 && now.Since(asked) >= lenderTimeout {
		controller.lending.skip++
		controller.lending.askedAt = 0
	}
	hash := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(controller.options.Self.Name))
	return peers[(uint64(hash.Sum32())+uint64(controller.lending.skip))%uint64(len(peers))], true
}

// exchangeLoans requests the loans that this instance needs, and sends those that it grants.
func (controller *Controller) exchangeLoans(now clock.Moment) {
	controller.requestLoans(now)
	controller.sendLoans()
}

// RequestLoans makes the controller request the loans for which callers wait. It does not block.
func (controller *Controller) RequestLoans() {
	select {
	case controller.inbox <- func(controller *Controller) { controller.requestLoans(controller.options.Clock.Now()) }:
	default:
		// The next tick requests them.
	}
}

// requestLoans requests the tokens that this instance needs for limited servers and for teams, if it does not count these itself.
func (controller *Controller) requestLoans(now clock.Moment) {
	lender, found := controller.lender(now)
	if !found {
		return
	}
	requests := loans{servers: controller.serverLoanRequests(now), teams: controller.teamLoanRequests()}
	if requests.empty() {
		return
	}
	if controller.lending.askedAt == 0 {
		controller.lending.askedAt = now
	}
	controller.sendLoansTo(lender, false, requests)
}

// loans are requests for loans of one instance, or the answers.
type loans struct {
	servers []SharedServerLoan
	teams   []SharedTeamLoan
}

func (loans loans) empty() bool {
	return len(loans.servers) == 0 && len(loans.teams) == 0
}

func (controller *Controller) serverLoanRequests(now clock.Moment) []SharedServerLoan {
	var requests []SharedServerLoan
	for _, state := range controller.services {
		for _, request := range state.scheduler.LoanRequests(now) {
			requests = append(requests, SharedServerLoan{
				Target: keyOf(request.Target), Started: request.Started, Tokens: uint16(request.Tokens), Returned: uint16(min(request.Returned, math.MaxUint16)),
			})
		}
	}
	return requests
}

func (controller *Controller) teamLoanRequests() []SharedTeamLoan {
	if controller.options.Quota == nil {
		return nil
	}
	var requests []SharedTeamLoan
	for _, request := range controller.options.Quota.LoanRequests() {
		requests = append(requests, SharedTeamLoan{
			Team: request.Team, Tokens: uint16(min(request.Tokens, math.MaxUint16)), Returned: uint16(min(request.Returned, math.MaxUint16)),
			Used: int16(min(max(request.Used, math.MinInt16), math.MaxInt16)),
		})
	}
	return requests
}

// sendLoansTo sends requests or answers, at most maxLoansPerDatagram of each kind in a datagram.
func (controller *Controller) sendLoansTo(member *membership.Member, answer bool, loans loans) {
	for start := 0; start < max(len(loans.servers), len(loans.teams)); start += maxLoansPerDatagram {
		controller.lending.sequence++
		controller.send(member.Address, &Message{Loans: &LoansMessage{
			Sender: controller.options.Self.Name, Incarnation: controller.options.Incarnation, Recipient: member.Incarnation,
			Sequence: controller.lending.sequence, Answer: answer, Servers: part(loans.servers, start), Teams: part(loans.teams, start),
		}})
	}
}

// part returns the elements of one datagram.
func part[Element any](list []Element, start int) []Element {
	return list[min(start, len(list)):min(start+maxLoansPerDatagram, len(list))]
}

// receiveLoans applies the answer of a lender, or answers a request for loans.
func (controller *Controller) receiveLoans(now clock.Moment, message *LoansMessage) {
	member, known := controller.members.Member(message.Sender)
	if !known || member.Incarnation != message.Incarnation || message.Recipient != controller.options.Incarnation {
		return
	}
	if !controller.lending.isNew(now, message) {
		return
	}
	if message.Answer {
		controller.lending.askedAt = 0
		controller.applyLoans(message)
		return
	}
	controller.declarationReporters[message.Incarnation] = now
	if controller.counting() {
		controller.sendLoansTo(member, true, controller.lend(message))
	}
}

// applyLoans applies the answers of a lender.
func (controller *Controller) applyLoans(message *LoansMessage) {
	for index := range message.Servers {
		shared := &message.Servers[index]
		if ref, listed := controller.targets[shared.Target]; listed {
			controller.services[ref.service].scheduler.ReceiveLoan(service.LoanAnswer{
				Target: ref.name, Started: shared.Started, Tokens: int(shared.Tokens), Unknown: shared.Unknown,
			})
		}
	}
	if controller.options.Quota == nil {
		return
	}
	for _, shared := range message.Teams {
		controller.options.Quota.ReceiveLoan(quota.LoanAnswer{Team: shared.Team, Tokens: int(shared.Tokens), Wait: clock.Milliseconds(shared.WaitMs)})
	}
}

// lend returns the answers to requests for loans.
func (controller *Controller) lend(message *LoansMessage) loans {
	var answers loans
	for index := range message.Servers {
		shared := &message.Servers[index]
		ref, listed := controller.targets[shared.Target]
		if !listed {
			continue
		}
		answer := controller.services[ref.service].scheduler.Lend(service.PeerKey(message.Incarnation), service.LoanRequest{
			Target: ref.name, Started: shared.Started, Tokens: int(shared.Tokens), Returned: int(shared.Returned),
		})
		if shared.Tokens > 0 {
			answers.servers = append(answers.servers, newSharedServerLoan(&answer))
		}
	}
	if controller.options.Quota == nil {
		return answers
	}
	for _, shared := range message.Teams {
		answer := controller.options.Quota.Lend(quota.LoanRequest{
			Team: shared.Team, Tokens: int(shared.Tokens), Returned: int(shared.Returned), Used: int(shared.Used),
		})
		if shared.Tokens > 0 {
			answers.teams = append(answers.teams, SharedTeamLoan{
				Team: answer.Team, Tokens: uint16(answer.Tokens), WaitMs: uint16(min(answer.Wait, math.MaxUint16)),
			})
		}
	}
	return answers
}

func newSharedServerLoan(answer *service.LoanAnswer) SharedServerLoan {
	return SharedServerLoan{Target: keyOf(answer.Target), Started: answer.Started, Tokens: uint16(answer.Tokens), Unknown: answer.Unknown}
}

// sendLoans sends the loans whose turn it is.
func (controller *Controller) sendLoans() {
	due := map[service.PeerKey][]SharedServerLoan{}
	for _, state := range controller.services {
		for _, granted := range state.scheduler.DueLoans() {
			due[granted.Peer] = append(due[granted.Peer], newSharedServerLoan(&granted.Answer))
		}
	}
	if len(due) == 0 {
		return
	}
	for _, member := range controller.members.Alive() {
		if servers := due[service.PeerKey(member.Incarnation)]; len(servers) > 0 {
			controller.sendLoansTo(member, true, loans{servers: servers})
		}
	}
}
