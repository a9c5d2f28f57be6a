package instance

import (
	"crypto/cipher"
	"crypto/rand"
	"encoding/hex"

	"github.com/cockroachdb/errors"
	"golang.org/x/crypto/chacha20poly1305"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// ErrSeal is returned for a datagram that was not sealed with a known key. Any host that can reach the port can send one.
var ErrSeal = errors.New("not sealed with a known key")

// Sealer seals and opens datagrams. A datagram consists of the length and name of its key, a random nonce, and the sealed
// message. The name of the key is authenticated too.
type Sealer struct {
	sealWith settings.KeyName
	ciphers  map[settings.KeyName]cipher.AEAD
}

// NewSealer returns a sealer for validated keys.
func NewSealer(keys settings.Keys) (*Sealer, error) {
	sealer := &Sealer{sealWith: keys.SealWith, ciphers: map[settings.KeyName]cipher.AEAD{}}
	for name, text := range keys.Known {
		key, err := hex.DecodeString(text)
		if err != nil {
			return nil, errors.Wrapf(err, "key %s", name)
		}
		if sealer.ciphers[name], err = chacha20poly1305.NewX(key); err != nil {
			return nil, errors.Wrapf(err, "key %s", name)
		}
	}
	if sealer.ciphers[keys.SealWith] == nil || len(keys.SealWith) > 255 {
		return nil, errors.Newf("key %s is not usable", keys.SealWith)
	}
	return sealer, nil
}

// Seal returns a datagram that holds the sealed message.
func (sealer *Sealer) Seal(message []byte) []byte {
	name := string(sealer.sealWith)
	datagram := make([]byte, 0, 1+len(name)+chacha20poly1305.NonceSizeX+len(message)+chacha20poly1305.Overhead)
	datagram = append(datagram, byte(len(name)))
	datagram = append(datagram, name...)
	nonce := make([]byte, chacha20poly1305.NonceSizeX)
	// rand.Read never returns an error.
	_, _ = rand.Read(nonce)
	datagram = append(datagram, nonce...)
	return sealer.ciphers[sealer.sealWith].Seal(datagram, nonce, message, []byte(name))
}

// Open returns the message of a sealed datagram. The error is ErrSeal.
func (sealer *Sealer) Open(datagram []byte) ([]byte, error) {
	if len(datagram) == 0 || len(datagram) < 1+int(datagram[0])+chacha20poly1305.NonceSizeX {
		return nil, ErrSeal
	}
	nameEnd := 1 + int(datagram[0])
	name := datagram[1:nameEnd]
	aead, known := sealer.ciphers[settings.KeyName(name)]
	if !known {
		return nil, ErrSeal
	}
	nonce := datagram[nameEnd : nameEnd+chacha20poly1305.NonceSizeX]
	message, err := aead.Open(nil, nonce, datagram[nameEnd+chacha20poly1305.NonceSizeX:], name)
	if err != nil {
		return nil, ErrSeal
	}
	return message, nil
}
