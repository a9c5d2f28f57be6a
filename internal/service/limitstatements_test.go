package service

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against responses that arrive late or in another order and end a limit that is still named, or keep one that is not.
func TestLimitStatements(t *testing.T) {
	type response struct {
		at    clock.Moment
		named bool
	}
	const second = clock.Moment(clock.Second)
	cases := []struct {
		name      string
		rate      float64
		responses []response
		lifted    bool
	}{
		{"no response", 1, nil, false},
		{"one without", 1, []response{{second, true}, {9 * second, false}}, false},
		{"two without, close together", 1, []response{{second, true}, {2 * second, false}, {3 * second, false}}, false},
		{"two without, far apart", 1, []response{{second, true}, {2 * second, false}, {4 * second, false}}, true},
		{"low rate", 0.5, []response{{second, true}, {2 * second, false}, {4 * second, false}}, false},
		{"low rate, longer", 0.5, []response{{second, true}, {2 * second, false}, {5 * second, false}}, true},
		{"rate of zero", 0, []response{{second, true}, {2 * second, false}, {7 * second, false}}, true},
		{"high rate", 1000, []response{{second, true}, {2 * second, false}, {4 * second, false}}, true},
		{"named in between", 1, []response{{second, true}, {2 * second, false}, {3 * second, true}, {4 * second, false}}, false},
		{"named in between, reported late", 1, []response{{second, true}, {2 * second, false}, {5 * second, false}, {3 * second, true}}, false},
		{"earlier response without it, reported late", 1, []response{{second, true}, {5 * second, false}, {2 * second, false}}, true},
		{"named before", 1, []response{{second, true}, {2 * second, false}, {5 * second, false}, {second + 1, true}}, true},
		{"without it before it was named", 1, []response{{5 * second, true}, {2 * second, false}, {4 * second, false}}, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var statements limitStatements
			for _, response := range testCase.responses {
				if response.named {
					statements.name(response.at)
				} else {
					statements.omit(response.at)
				}
			}
			require.Equal(t, testCase.lifted, statements.lifted(testCase.rate))
		})
	}
}
