package caller

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// keyHeader carries a caller's API key.
const keyHeader = "Authorization"

// keyScheme precedes the key; its case is ignored (RFC 9110, section 11.1).
const keyScheme = "Bearer"

// maxKeyLength is the length in bytes of the longest key accepted.
const maxKeyLength = 4096

// unconfirmedRetryAfter is the retry delay if an instance whose configuration may be outdated finds no route, or cannot confirm the API key.
const unconfirmedRetryAfter = 250 * clock.Millisecond

// Reasons to reject a request for its API key or its team. The messages do not quote what the caller sent.
var (
	errNoKey            = errors.New("request has no API key")
	errMultipleKeys     = errors.New("request has more than one API key")
	errMalformedKey     = errors.New("API key is not of the form \"Bearer KEY\"")
	errUnknownKey       = errors.New("no team has the API key")
	errUnconfirmedKey   = errors.New("no team has the API key in a configuration that may be outdated")
	errUnconfirmedRoute = errors.New("no route matches in a configuration that may be outdated")
	errStaleKeys        = errors.New("store has not answered for so long that the API key may have been revoked")
	errTeamLimit        = errors.New("team's rate limit is reached")
)

// identity is the team that a request's API key belongs to.
type identity struct {
	team   *team.Team
	digest team.KeyDigest
	// quotaCharged means that the request is counted against its team's rate limit.
	quotaCharged bool
}

// readKey returns the API key in a request's header.
func readKey(header http.Header) (string, error) {
	values := header[keyHeader]
	switch {
	case len(values) == 0:
		return "", errNoKey
	case len(values) > 1:
		return "", errMultipleKeys
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	if !found || !strings.EqualFold(scheme, keyScheme) || key == "" || len(key) > maxKeyLength || strings.ContainsAny(key, " ,\t") {
		return "", errMalformedKey
	}
	return key, nil
}

// authenticate finds the team of the request's API key. Unless the route is public, it rejects a request without a valid key.
func (call *call) authenticate() *errorResponse {
	if call.table.Teams == nil {
		return nil
	}
	key, err := readKey(call.request.Header)
	if err == nil {
		call.identity.digest = team.DigestOf(key)
		var known bool
		if call.identity.team, known = call.table.Teams.Find(call.identity.digest); !known {
			err = errUnknownKey
		}
	}
	if call.route.Public {
		return nil
	}
	freshness := call.keyFreshness()
	switch {
	case err == nil && freshness == team.KeysStale:
		return &errorResponse{status: http.StatusServiceUnavailable, reason: outcome.ReasonNoSettings, retryAfter: unconfirmedRetryAfter, cause: errStaleKeys}
	case err == nil:
		return nil
	case errors.Is(err, errUnknownKey) && freshness != team.KeysCurrent:
		return &errorResponse{status: http.StatusServiceUnavailable, reason: outcome.ReasonNoSettings, retryAfter: unconfirmedRetryAfter, cause: errUnconfirmedKey}
	default:
		call.writer.Header().Set("WWW-Authenticate", keyScheme)
		return newRejection(http.StatusUnauthorized, outcome.ReasonUnauthorized, err)
	}
}

// keyFreshness returns how current the API keys of the active table are.
func (call *call) keyFreshness() team.KeySetStatus {
	if call.handler.options.KeyFreshness == nil {
		return team.KeysCurrent
	}
	return call.handler.options.KeyFreshness()
}

// chargeQuota counts the request against its team's rate limit, or rejects it if the limit is reached.
func (call *call) chargeQuota() *errorResponse {
	quota := call.handler.options.Quota
	if call.identity.team == nil || quota == nil {
		return nil
	}
	if call.relayed != nil {
		// The instance that received the request has counted it. Further attempts are counted here.
		call.identity.quotaCharged = true
		return nil
	}
	wait, admitted := quota.AdmitWaiting(call.request.Context(), call.identity.team.Name)
	if !admitted {
		return &errorResponse{status: http.StatusTooManyRequests, reason: outcome.ReasonTeamLimit, retryAfter: wait, cause: errTeamLimit}
	}
	call.identity.quotaCharged = true
	return nil
}

// chargeRetry counts another attempt against the team's rate limit.
func (call *call) chargeRetry() {
	if call.identity.quotaCharged {
		call.handler.options.Quota.RecordAttempt(call.identity.team.Name)
	}
}

// refundQuota takes back the charge for a request that has not run and will not run.
func (call *call) refundQuota() {
	if call.identity.quotaCharged && call.relayed == nil {
		call.identity.quotaCharged = false
		call.handler.options.Quota.Return(call.identity.team.Name)
	}
}

// quotaAllowsRetry reports whether the team's rate limit allows another attempt.
func (call *call) quotaAllowsRetry() bool {
	return !call.identity.quotaCharged || !call.handler.options.Quota.Exhausted(call.identity.team.Name)
}

// keyRevoked reports whether the API key has been revoked since the request arrived.
func (call *call) keyRevoked() bool {
	if call.identity.team == nil || call.route.Public {
		return false
	}
	table := call.handler.options.Table()
	if table == nil || table == call.table || table.Teams == nil {
		return false
	}
	_, known := table.Teams.Find(call.identity.digest)
	return !known
}

// rejectRevoked releases the permit and returns the error response for a request whose API key was revoked before an attempt.
// The outcome is Unknown if an earlier attempt may have run.
func (call *call) rejectRevoked() *errorResponse {
	call.release(service.Cancelled)
	for _, earlier := range call.attempts {
		if earlier.Result != trace.ResultNotRun && earlier.Result != trace.ResultNotWritten {
			return &errorResponse{status: http.StatusBadGateway, outcome: outcome.Unknown, reason: outcome.ReasonUnauthorized, cause: errUnknownKey}
		}
	}
	return newRejection(http.StatusUnauthorized, outcome.ReasonUnauthorized, errUnknownKey)
}

// teamPriority returns the team's priority, or that of the request's class if the team has none.
func (call *call) teamPriority() settings.Priority {
	if call.identity.team == nil || call.identity.team.Priority == team.NoPriority {
		return call.route.Class.Settings.Priority
	}
	return call.identity.team.Priority
}

// setTeamHeader sets the team's name in the header for the backend server, and removes the API key, which the server must not
// receive. Callers' own values of the header are removed.
func (call *call) setTeamHeader(header http.Header) {
	name := call.handler.options.Dialect.TeamHeader
	if name == "" {
		return
	}
	header.Del(name)
	if call.table.Teams == nil {
		return
	}
	header.Del(keyHeader)
	if call.identity.team != nil {
		header.Set(name, string(call.identity.team.Name))
	}
}
