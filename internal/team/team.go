// Package team holds the teams whose callers a fleet serves, with their API keys, priorities and rate limits. It does no I/O and stores
// only digests of keys, no keys.
//
// # Usage
//
//	directory := team.NewDirectory(configuration.Teams)
//	found, known := directory.Find(team.DigestOf(key))
package team

import (
	"crypto/sha256"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Name is a team's name.
type Name string

// digestBytes is the length of the stored prefix of a SHA-256 sum. Finding another key with the same digest takes 2^128
// attempts.
const digestBytes = 16

// KeyDigest represents an API key wherever it is stored, compared or sent to another instance.
type KeyDigest [digestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:digestBytes])
}

// NoPriority is the priority of a team without a configured one.
const NoPriority settings.Priority = -1

// Team is the configuration of one team.
type Team struct {
	_ struct{} `cbor:",toarray"`

	Name Name
	Keys []KeyDigest
	// Priority takes precedence over that of a route; NoPriority when the team has none.
	Priority settings.Priority
	// Rate is the number of requests per second that the fleet runs for the team, 0 for no limit. Burst is the number of
	// requests that may exceed Rate at once.
	Rate  float64
	Burst float64
}

// Limited reports whether the team has a rate limit.
func (team *Team) Limited() bool {
	return team.Rate > 0
}

// Directory finds teams by key. It is immutable and therefore safe for concurrent use.
type Directory struct {
	byKey map[KeyDigest]*Team
}

// NewDirectory returns the directory of the given teams. A key that is listed for two teams belongs to the first.
func NewDirectory(teams []Team) *Directory {
	directory := &Directory{byKey: make(map[KeyDigest]*Team, len(teams))}
	for index := range teams {
		for _, digest := range teams[index].Keys {
			if _, taken := directory.byKey[digest]; !taken {
				directory.byKey[digest] = &teams[index]
			}
		}
	}
	return directory
}

// Find returns the team of the key with the given digest, and whether there is one.
func (directory *Directory) Find(digest KeyDigest) (*Team, bool) {
	found, known := directory.byKey[digest]
	return found, known
}

// KeySetStatus states how far an instance can rely on its set of API keys.
type KeySetStatus int32

// The statuses of a key set.
const (
	// KeysCurrent means that the set is that of the current configuration: a key that is not in it is invalid.
	KeysCurrent KeySetStatus = iota
	// KeysUnverified means that a newer configuration may exist, so that an unknown key may be valid.
	KeysUnverified
	// KeysStale means that the set is so old that any of its keys may have been revoked. No key may be accepted.
	KeysStale
)
