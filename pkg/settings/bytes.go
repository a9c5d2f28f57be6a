package settings

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalidSize is returned for a size that can't be parsed.
var ErrInvalidSize = errors.New(`a size is a whole number with B, KiB, MiB or GiB, such as "64KiB"`)

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// MarshalText implements encoding.TextMarshaler. It uses the largest unit in which the size is a whole number.
func (bytes Bytes) MarshalText() ([]byte, error) {
	for _, unit := range sizeUnits {
		if int64(bytes)%unit.bytes == 0 {
			return []byte(strconv.FormatInt(int64(bytes)/unit.bytes, 10) + unit.suffix), nil
		}
	}
	return nil, ErrInvalidSize
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts a whole number with its unit, such as "64KiB", and returns
// ErrInvalidSize for any other text.
func (bytes *Bytes) UnmarshalText(text []byte) error {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(string(text), unit.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || number < 0 || number > (1<<62)/unit.bytes {
			return errors.Wrapf(ErrInvalidSize, "%s", strconv.Quote(string(text)))
		}
		*bytes = Bytes(number * unit.bytes)
		return nil
	}
	return errors.Wrapf(ErrInvalidSize, "%s", strconv.Quote(string(text)))
}
