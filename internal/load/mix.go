package load

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// ErrMix means that a mix is invalid.
var ErrMix = errors.New("invalid mix")

// Call describes one kind of call in a mix.
type Call struct {
	Service settings.ServiceName `json:"service"`
	// Class is the name under which the call's latencies are reported.
	Class  settings.ClassName `json:"class"`
	Host   string             `json:"host"`
	Method string             `json:"method"`
	Path   string             `json:"path"`
	// BodyBytes is the size of the request body.
	BodyBytes int `json:"bodyBytes,omitempty"`
	// Weight is the relative frequency of the call.
	Weight float64 `json:"weight"`
}

// Mix describes the calls of a load.
type Mix struct {
	Calls []Call `json:"calls"`
}

// ReadMix reads a mix from a JSON file. The error is ErrMix if the file can be read but its content is invalid.
func ReadMix(path string) (Mix, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Mix{}, errors.Wrap(err, "read mix")
	}
	mix, err := parseMix(text)
	return mix, errors.Wrapf(err, "%s", path)
}

func parseMix(text []byte) (Mix, error) {
	var mix Mix
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&mix); err != nil {
		return Mix{}, errors.Wrapf(ErrMix, "%v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Mix{}, errors.Wrap(ErrMix, "unexpected text after the mix")
	}
	return mix, mix.check()
}

func (mix Mix) check() error {
	total := 0.0
	for index, call := range mix.Calls {
		switch {
		case call.Service == "" || call.Host == "" || call.Method == "":
			return errors.Wrapf(ErrMix, "calls.%d: service, host and method are required", index)
		case call.Path == "" || call.Path[0] != '/':
			return errors.Wrapf(ErrMix, "calls.%d.path: %s does not start with /", index, strconv.Quote(call.Path))
		case call.Weight < 0 || call.BodyBytes < 0:
			return errors.Wrapf(ErrMix, "calls.%d: weight or bodyBytes is negative", index)
		}
		total += call.Weight
	}
	if total <= 0 {
		return errors.Wrap(ErrMix, "no call has a weight above zero")
	}
	return nil
}

// EvenMix returns a mix with one call for each class of each service, all with the same weight. The error is ErrMix if the
// site has no class.
func EvenMix(site *settings.Site) (Mix, error) {
	var mix Mix
	for _, name := range slices.Sorted(maps.Keys(site.Services)) {
		service := site.Services[name]
		for _, className := range slices.Sorted(maps.Keys(service.Classes)) {
			class := service.Classes[className]
			call := Call{
				Service: name, Class: className, Host: service.Hosts[0], Method: class.Methods[0],
				Path: class.Paths[0], Weight: 1,
			}
			if !class.Idempotent {
				call.BodyBytes = 200
			}
			mix.Calls = append(mix.Calls, call)
		}
	}
	return mix, mix.check()
}

// pick returns the call at the given point, from 0 to 1, of the cumulative weights.
func (mix Mix) pick(point float64) *Call {
	total := 0.0
	for _, call := range mix.Calls {
		total += call.Weight
	}
	point *= total
	for index := range mix.Calls {
		point -= mix.Calls[index].Weight
		if point < 0 {
			return &mix.Calls[index]
		}
	}
	return &mix.Calls[len(mix.Calls)-1]
}
