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

// headerKey bears a caller's API key.
const headerKey = "Authorization"

// keyScheme goes before the key, in any case (RFC 9110, section 11.1).
const keyScheme = "Bearer"

// keyMost is the length of the longest key that is looked for, in bytes.
const keyMost = 4096

// unsureComeBack is when a caller may return whose key is unknown to an instance that may not have the newest configuration.
const unsureComeBack = 250 * clock.Millisecond

// Why a request bears no key that counts. None of them quotes what the caller sent.
var (
	errNoKey      = errors.New("the request bears no API key")
	errManyKeys   = errors.New("the request bears more than one API key")
	errKeyForm    = errors.New("the API key is not given as \"Bearer KEY\"")
	errUnknownKey = errors.New("no team holds the API key")
	errUnsureKey  = errors.New("no team holds the API key in a configuration that may not be the newest")
	errStaleKeys  = errors.New("nothing has been heard of the store for so long that the API key may have been revoked")
	errTeamLimit  = errors.New("the team's rate limit is reached")
)

// identity is what a request's API key tells.
type identity struct {
	team   *team.Team
	digest team.KeyDigest
	// taken says that the request was counted against its team's rate limit.
	taken bool
}

// readKey returns the key that the request bears.
func readKey(header http.Header) (string, error) {
	values := header[headerKey]
	switch {
	case len(values) == 0:
		return "", errNoKey
	case len(values) > 1:
		return "", errManyKeys
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	if !found || !strings.EqualFold(scheme, keyScheme) || key == "" || len(key) > keyMost || strings.ContainsAny(key, " ,\t") {
		return "", errKeyForm
	}
	return key, nil
}

// identify finds the team whose key the request bears, where requests need one.
func (call *call) identify() *ending {
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
	standing := call.keyStanding()
	switch {
	case err == nil && standing == team.KeysStale:
		return &ending{status: http.StatusServiceUnavailable, reason: outcome.ReasonNoSettings, retryAfter: unsureComeBack, cause: errStaleKeys}
	case err == nil:
		return nil
	case errors.Is(err, errUnknownKey) && standing != team.KeysCurrent:
		return &ending{status: http.StatusServiceUnavailable, reason: outcome.ReasonNoSettings, retryAfter: unsureComeBack, cause: errUnsureKey}
	default:
		call.writer.Header().Set("WWW-Authenticate", keyScheme)
		return refusal(http.StatusUnauthorized, outcome.ReasonUnauthorized, err)
	}
}

func (call *call) keyStanding() team.KeySetStatus {
	if call.handler.options.Keys == nil {
		return team.KeysCurrent
	}
	return call.handler.options.Keys()
}

// takeQuota counts the request against its team's rate limit.
func (call *call) takeQuota() *ending {
	quota := call.handler.options.Quota
	if call.identity.team == nil || quota == nil {
		return nil
	}
	wait, taken := quota.Take(call.identity.team.Name)
	if !taken {
		return &ending{status: http.StatusTooManyRequests, reason: outcome.ReasonTeamLimit, retryAfter: wait, cause: errTeamLimit}
	}
	call.identity.taken = true
	return nil
}

// repeatQuota counts another attempt against the team's rate limit.
func (call *call) repeatQuota() {
	if call.identity.taken {
		call.handler.options.Quota.Repeat(call.identity.team.Name)
	}
}

// returnQuota gives back what a request has taken that has not run and never will.
func (call *call) returnQuota() {
	if call.identity.taken {
		call.identity.taken = false
		call.handler.options.Quota.Return(call.identity.team.Name)
	}
}

// mayRepeat reports whether the team's rate limit leaves room for a second copy of the request.
func (call *call) mayRepeat() bool {
	return !call.identity.taken || !call.handler.options.Quota.Exhausted(call.identity.team.Name)
}

// revoked reports whether the key was revoked after the request came.
func (call *call) revoked() bool {
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

// endRevoked ends a request whose key was revoked before it was sent, or sent again.
func (call *call) endRevoked() *ending {
	call.release(service.Cancelled)
	for _, earlier := range call.attempts {
		if earlier.Result != trace.ResultNotRun && earlier.Result != trace.ResultNotWritten {
			return &ending{status: http.StatusBadGateway, outcome: outcome.Unknown, reason: outcome.ReasonUnauthorized, cause: errUnknownKey}
		}
	}
	return refusal(http.StatusUnauthorized, outcome.ReasonUnauthorized, errUnknownKey)
}

// teamPriority is the team's priority, or that of the route if it has none.
func (call *call) teamPriority() settings.Priority {
	if call.identity.team == nil || call.identity.team.Priority == team.NoPriority {
		return call.route.Class.Settings.Priority
	}
	return call.identity.team.Priority
}

// setTeam has the header tell a backend server whose request it is, and keeps the key from it.
func (call *call) setTeam(header http.Header) {
	name := call.handler.options.Dialect.TeamHeader
	if name == "" {
		return
	}
	header.Del(name)
	if call.table.Teams == nil {
		return
	}
	header.Del(headerKey)
	if call.identity.team != nil {
		header.Set(name, string(call.identity.team.Name))
	}
}
