// Package team knows the teams whose callers a fleet serves: by which API keys their requests are known, how urgent they are and how many
// they may send. It is pure and holds no key, only digests of keys.
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

// digestBytes is the part of a SHA-256 sum that is kept: finding another key with the same digest takes 2^128 tries.
const digestBytes = 16

// KeyDigest stands for an API key wherever it is kept, compared or told to another instance.
type KeyDigest [digestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:digestBytes])
}

// NoPriority is the priority of a team that has none of its own.
const NoPriority settings.Priority = -1

// Team is what operators say of one team.
type Team struct {
	_ struct{} `cbor:",toarray"`

	Name Name
	Keys []KeyDigest
	// Priority goes before that of a route; NoPriority when the team has none.
	Priority settings.Priority
	// Rate is the number of requests a second that the fleet runs for the team, 0 when there is no limit, and Burst how many may come at once
	// beyond it.
	Rate  float64
	Burst float64
}

// Limited reports whether the team has a rate limit.
func (team *Team) Limited() bool {
	return team.Rate > 0
}

// Directory finds teams by key. It is immutable, so it is safe for concurrent use.
type Directory struct {
	byKey map[KeyDigest]*Team
}

// NewDirectory returns the directory of the given teams. A key that two teams hold belongs to the first.
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

// Find returns the team that holds the key.
func (directory *Directory) Find(digest KeyDigest) (*Team, bool) {
	found, known := directory.byKey[digest]
	return found, known
}

// KeySetStatus tells what the set of API keys is worth that an instance has.
type KeySetStatus int32

// The standings of a set of keys.
const (
	// KeysCurrent says that a key that is not in the set is in no configuration.
	KeysCurrent KeySetStatus = iota
	// KeysUnverified says that there may be a newer configuration.
	KeysUnverified
	// KeysStale says that keys may have been revoked so long ago that none may be used.
	KeysStale
)
