package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/quarantine"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

const (
	// secondEndCheckDelay is the time after which a server that still listens is checked again: a process that ends may close its connections
	// before its listener.
	secondEndCheckDelay = 50 * clock.Millisecond
	// endCheckValidity is how long the result of a check is used for further requests that the server did not answer.
	endCheckValidity = 250 * clock.Millisecond
	// maxLostServers is the number of servers that may get a request, not answer it and no longer accept connections, refused or not:
	// these may have ended with their machines.
	maxLostServers = 3
	// maxEndCheckWait is how long a request waits for such results before it is sent on.
	maxEndCheckWait = 150 * clock.Millisecond
)

// EventServerEnded counts backend servers that ended with requests in flight.
const EventServerEnded = "server.ended"

// errQuarantined means that backend servers have ended under the request.
var errQuarantined = errors.New("backend servers have ended while they had this request")

// endCheck finds out whether a server that closed a connection without an answer has ended. One that merely reset it still listens, and one
// that is cut off refuses nothing.
type endCheck struct {
	done chan struct{}
	// The other fields are guarded by the mutex of endChecks. lost are the requests that the server had.
	lost       []quarantine.Lost
	finishedAt clock.Moment
	state      backendserver.ListenState
}

// endChecks are the checks of all servers that did not answer lately.
type endChecks struct {
	mutex  sync.Mutex
	checks map[quarantine.Server]*endCheck
}

// checkEnd finds out whether the server of the permit, which did not answer the request, has ended.
func (handler *Handler) checkEnd(permit service.Permit, lost quarantine.Lost) *endCheck {
	server := quarantine.Server{Name: permit.Target.Name, Started: permit.Started()}
	now := handler.options.Clock.Now()
	handler.endChecks.mutex.Lock()
	defer handler.endChecks.mutex.Unlock()
	check, found := handler.endChecks.checks[server]
	switch {
	case !found || check.finishedAt > 0 && now.Since(check.finishedAt) > endCheckValidity:
		check = &endCheck{done: make(chan struct{}), lost: []quarantine.Lost{lost}}
		handler.endChecks.add(now, server, check)
		go handler.runEndCheck(server, check)
	case check.finishedAt == 0:
		check.lost = append(check.lost, lost)
	default:
		handler.recordLost(server, check.state, lost)
	}
	return check
}

// recordLost records requests that a server did not answer.
func (handler *Handler) recordLost(server quarantine.Server, state backendserver.ListenState, lost ...quarantine.Lost) {
	if state == backendserver.NotListening {
		handler.options.Quarantine.RecordEnd(server, lost...)
		return
	}
	handler.options.Quarantine.RecordLoss(server, lost...)
}

// add adds a check and drops those whose results are no longer used.
func (endChecks *endChecks) add(now clock.Moment, server quarantine.Server, check *endCheck) {
	if endChecks.checks == nil {
		endChecks.checks = map[quarantine.Server]*endCheck{}
	}
	for other, old := range endChecks.checks {
		if old.finishedAt > 0 && now.Since(old.finishedAt) > endCheckValidity {
			delete(endChecks.checks, other)
		}
	}
	endChecks.checks[server] = check
}

// runEndCheck checks a server. It ends the check even if a part of it panics: requests wait for the end.
func (handler *Handler) runEndCheck(server quarantine.Server, check *endCheck) {
	defer close(check.done)
	state := backendserver.ListenUnknown
	_ = handler.options.Guard.Run("end check", func() { state = handler.checkListening(server) })
	_ = handler.options.Guard.Run("end check", func() { handler.finishEndCheck(server, state, check) })
}

// checkListening reports whether the server listens, and still does so a moment later.
func (handler *Handler) checkListening(server quarantine.Server) backendserver.ListenState {
	state := handler.options.Servers.CheckListening(handler.baseContext, server.Name)
	if state == backendserver.Listening {
		timer := time.NewTimer(secondEndCheckDelay.Duration())
		defer timer.Stop()
		<-timer.C
		state = handler.options.Servers.CheckListening(handler.baseContext, server.Name)
	}
	return state
}

func (handler *Handler) finishEndCheck(server quarantine.Server, state backendserver.ListenState, check *endCheck) {
	handler.endChecks.mutex.Lock()
	defer handler.endChecks.mutex.Unlock()
	check.finishedAt = handler.options.Clock.Now()
	check.state = state
	handler.recordLost(server, state, check.lost...)
	if state == backendserver.NotListening {
		handler.options.Registry.Events.Add(EventServerEnded, 1)
		if handler.options.OnServerEnd != nil {
			handler.options.OnServerEnd(server.Name, len(check.lost))
		}
	}
}

// listens reports whether a finished check has shown that the server listens.
func (handler *Handler) listens(check *endCheck) bool {
	handler.endChecks.mutex.Lock()
	defer handler.endChecks.mutex.Unlock()
	return check.finishedAt > 0 && check.state == backendserver.Listening
}

// digest identifies the request, whoever sends it again and at whichever instance, or reports that it cannot be told from others.
func (call *call) digest() (quarantine.Digest, bool) {
	if call.handler.options.Quarantine == nil || call.body.present && !call.body.bufferComplete {
		return quarantine.Digest{}, false
	}
	call.digestOnce.Do(func() {
		var teamName string
		if call.identity.team != nil {
			teamName = string(call.identity.team.Name)
		}
		request := call.request
		uri := call.sentPath()
		if request.URL.ForceQuery || request.URL.RawQuery != "" {
			uri += "?" + request.URL.RawQuery
		}
		call.requestDigest = quarantine.DigestOf([]byte(teamName), []byte(request.Method), []byte(request.Host), []byte(uri), call.body.buffered)
	})
	return call.requestDigest, true
}

// checkLostAttempt starts a check of the server if it closed the connection without an answer.
func (call *call) checkLostAttempt(ctx context.Context, sentAt clock.Moment, attempt *attempt) {
	var failure *backendserver.Error
	isLost := errors.As(attempt.err, &failure) && failure.Written || errors.Is(attempt.err, errServerRead)
	if !isLost || ctx.Err() != nil || errors.Is(attempt.err, errCallerGone) || call.body.readError() != nil {
		return
	}
	if digest, known := call.digest(); known {
		attempt.endCheck = call.handler.checkEnd(attempt.permit, quarantine.Lost{Request: digest, SentAt: sentAt, LostAt: call.now()})
	}
}

// mayEndServers reports whether the request must not be sent to another server because servers have ended under it. Its first repetition
// does not wait for the check of the first server, unless a server has ended under the same request before.
func (call *call) mayEndServers(ctx context.Context) bool {
	if len(call.endChecks) >= 2 || call.suspected() {
		call.awaitEndChecks(ctx)
	}
	_, blocked := call.quarantined()
	return blocked || call.lostServers() >= maxLostServers
}

// lostServers returns the number of servers that have not answered the request and are not known to listen.
func (call *call) lostServers() int {
	lost := 0
	for _, check := range call.endChecks {
		if !call.handler.listens(check) {
			lost++
		}
	}
	return lost
}

// awaitEndChecks waits a moment for the results of the checks.
func (call *call) awaitEndChecks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxEndCheckWait.Duration())
	defer cancel()
	for _, check := range call.endChecks {
		select {
		case <-check.done:
		case <-ctx.Done():
		}
	}
}

// quarantined reports whether the request is quarantined, and for how long.
func (call *call) quarantined() (clock.Milliseconds, bool) {
	if call.handler.options.Quarantine == nil || !call.handler.options.Quarantine.Active() {
		return 0, false
	}
	digest, known := call.digest()
	if !known {
		return 0, false
	}
	return call.handler.options.Quarantine.Blocked(digest)
}

// suspected reports whether a server has ended while it had the same request.
func (call *call) suspected() bool {
	if call.handler.options.Quarantine == nil || !call.handler.options.Quarantine.Active() {
		return false
	}
	digest, known := call.digest()
	return known && call.handler.options.Quarantine.Suspected(digest)
}

// checkQuarantine refuses a request under which servers have ended.
func (call *call) checkQuarantine() *errorResponse {
	wait, blocked := call.quarantined()
	if !blocked {
		return nil
	}
	return &errorResponse{
		status: http.StatusServiceUnavailable, outcome: outcome.NotRun, reason: outcome.ReasonQuarantined, retryAfter: wait, cause: errQuarantined,
	}
}

// recordAnswered records that a server has answered the request.
func (call *call) recordAnswered() {
	if call.handler.options.Quarantine == nil || !call.handler.options.Quarantine.Active() {
		return
	}
	if digest, known := call.digest(); known {
		call.handler.options.Quarantine.RecordAnswer(digest)
	}
}
