package catalog

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrEncoding means that data from a peer is not an encoded update.
var ErrEncoding = errors.New("update not understood")

// The first byte of an encoded update, which says whether the CBOR data after it is plain or compressed.
const (
	formPlain   byte = 'p'
	formDeflate byte = 'd'
)

// compressionThreshold is the length in bytes from which an update is compressed: for an update of a few backend servers,
// compression is not worth the memory that it takes.
const compressionThreshold = 4 << 10

// maxUpdateSize bounds the length in bytes of an update after decompression.
const maxUpdateSize = 64 << 20

var encoding, decoding = func() (cbor.EncMode, cbor.DecMode) {
	encoding, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	decoding, err := cbor.DecOptions{
		MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return encoding, decoding
}()

// Encode returns the encoded update for another instance.
func (update *Update) Encode() ([]byte, error) {
	plain, err := encoding.Marshal(update)
	if err != nil {
		return nil, errors.Wrap(err, "encode update")
	}
	if len(plain) < compressionThreshold {
		return append([]byte{formPlain}, plain...), nil
	}
	encoded := bytes.NewBuffer([]byte{formDeflate})
	compressor, err := flate.NewWriter(encoded, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	if _, err := compressor.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	return encoded.Bytes(), nil
}

// DecodeUpdate reads an encoded update until the end of the reader. The error is ErrEncoding, or that of the reader. Values of the
// configuration that are out of range are replaced. Servers that are out of range stay, since they count for the digest: ServerList.Valid
// leaves them out.
func DecodeUpdate(reader io.Reader) (Update, error) {
	var update Update
	var form [1]byte
	if _, err := io.ReadFull(reader, form[:]); err != nil {
		return update, errors.Wrap(err, "read update")
	}
	switch form[0] {
	case formPlain:
	case formDeflate:
		reader = flate.NewReader(reader)
	default:
		return update, errors.Wrapf(ErrEncoding, "unknown form %q", form[0])
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxUpdateSize))
	if err != nil {
		return update, errors.Wrap(err, "read update")
	}
	if err := decoding.Unmarshal(text, &update); err != nil {
		return Update{}, errors.Wrapf(ErrEncoding, "%v", err)
	}
	update.RetainedFor = within(update.RetainedFor, 0, maxRetention)
	if update.Configuration != nil {
		if update.Configuration.Version > MaxVersion {
			return Update{}, errors.Wrapf(ErrEncoding, "version %d", update.Configuration.Version)
		}
		update.Configuration.Normalize()
	}
	return update, nil
}
