package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Digest identifies a request.
type Digest [16]byte

// String returns the first digits of the digest, as they appear in logs.
func (digest Digest) String() string {
	return hex.EncodeToString(digest[:6])
}

// DigestOf returns the digest of a request that consists of the given parts.
func DigestOf(parts ...[]byte) Digest {
	hash := sha256.New()
	for _, part := range parts {
		// Writing to a hash never fails. The length keeps parts from running into each other.
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = hash.Write(part)
	}
	return Digest(hash.Sum(nil)[:len(Digest{})])
}

// Server is one process of a backend server.
type Server struct {
	_ struct{} `cbor:",toarray"`
	// Name and Started identify the process.
	Name    settings.TargetName
	Started int64
}
