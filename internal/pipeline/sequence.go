package pipeline

// Number identifies a request of a connection. Requests are numbered in the order in which they arrive.
type Number uint64

// Limits limits what one connection may occupy.
type Limits struct {
	// Requests is the number of requests in progress.
	Requests int
	// HeldBytes is the length of the responses that are held until earlier ones have been sent.
	HeldBytes int
}

// Result is how a request in progress has ended.
type Result int

// The results of a request.
const (
	// InProgress means that the response is not complete.
	InProgress Result = iota
	// Answered means that the response is complete and the connection stays open.
	Answered
	// AnsweredLast means that the response is complete and the connection closes after it.
	AnsweredLast
	// Aborted means that the response cannot be completed. The connection must not look as if it had been.
	Aborted
)

// entry is one request in progress.
type entry struct {
	result    Result
	heldBytes int
}

// Sequence contains the requests of a connection whose responses have not been sent completely. It is not safe for concurrent use.
//
// The first request in order has the turn: its response may be sent. The others' responses are held. The zero value is a sequence
// without requests and with limits of 0.
type Sequence struct {
	limits Limits
	// entries are the requests in progress; first is the number of the first of them.
	entries   []entry
	first     Number
	heldBytes int
	// ended means that no further request may be started.
	ended bool
}

// NewSequence returns a sequence without requests.
func NewSequence(limits Limits) *Sequence {
	return &Sequence{limits: limits}
}

// Start adds the next request. It reports false, and adds none, if the connection may have no further request in progress.
func (sequence *Sequence) Start() (Number, bool) {
	if !sequence.MayStart() {
		return 0, false
	}
	sequence.entries = append(sequence.entries, entry{})
	return sequence.first + Number(len(sequence.entries)) - 1, true
}

// MayStart reports whether Start would add a request.
func (sequence *Sequence) MayStart() bool {
	return !sequence.ended && len(sequence.entries) < max(sequence.limits.Requests, 1)
}

// InProgress returns the number of requests in progress.
func (sequence *Sequence) InProgress() int {
	return len(sequence.entries)
}

// Behind returns the number of earlier requests whose responses have not been sent completely.
func (sequence *Sequence) Behind(number Number) int {
	return int(number - sequence.first)
}

// HasTurn reports whether the request is the first in order, so that its response may be sent.
func (sequence *Sequence) HasTurn(number Number) bool {
	return len(sequence.entries) > 0 && number == sequence.first
}

// MayHold reports whether count further bytes of the request's response may be added to those that are not sent yet. It is always
// true of the request that has the turn, whose bytes can be sent at once.
func (sequence *Sequence) MayHold(number Number, count int) bool {
	return sequence.HasTurn(number) || sequence.heldBytes+count <= sequence.limits.HeldBytes
}

// contains reports whether the request is in progress.
func (sequence *Sequence) contains(number Number) bool {
	return number >= sequence.first && sequence.Behind(number) < len(sequence.entries)
}

// Hold adds count bytes to those of the request's response that are not sent yet. It has no effect on a request that is not in progress.
func (sequence *Sequence) Hold(number Number, count int) {
	if !sequence.contains(number) {
		return
	}
	sequence.entries[sequence.Behind(number)].heldBytes += count
	sequence.heldBytes += count
}

// Release takes count bytes from those of the request's response that are not sent yet.
func (sequence *Sequence) Release(number Number, count int) {
	sequence.Hold(number, -count)
}

// Finish records how a request in progress has ended. No request may be started behind one that is the last of its connection.
func (sequence *Sequence) Finish(number Number, result Result) {
	if !sequence.contains(number) {
		return
	}
	sequence.entries[sequence.Behind(number)].result = result
	if result != Answered {
		sequence.ended = true
	}
}

// Advance removes the request that has the turn if its response is complete and has been sent, and returns its result: InProgress if
// it keeps the turn. After AnsweredLast and Aborted the connection must be closed, and all requests behind count as not read.
func (sequence *Sequence) Advance() Result {
	if len(sequence.entries) == 0 || sequence.entries[0].heldBytes > 0 {
		return InProgress
	}
	result := sequence.entries[0].result
	switch result {
	case Answered:
		sequence.entries = sequence.entries[1:]
		sequence.first++
		if len(sequence.entries) == 0 {
			sequence.entries = nil
		}
	case AnsweredLast, Aborted:
		sequence.Abandon()
	case InProgress:
	}
	return result
}

// EndWith ends the connection with the given request and reports true, unless a later request has been started: that one has been passed
// on, and its response must still be sent. No request can be started after that.
func (sequence *Sequence) EndWith(number Number) bool {
	if sequence.Behind(number) != len(sequence.entries)-1 {
		return false
	}
	sequence.ended = true
	return true
}

// End prevents further requests from being started. Those in progress stay.
func (sequence *Sequence) End() {
	sequence.ended = true
}

// Ended reports whether no further request can be started.
func (sequence *Sequence) Ended() bool {
	return sequence.ended
}

// Abandon removes all requests, because the connection has ended, and prevents further ones from being started.
func (sequence *Sequence) Abandon() {
	sequence.first += Number(len(sequence.entries))
	sequence.entries, sequence.heldBytes, sequence.ended = nil, 0, true
}
