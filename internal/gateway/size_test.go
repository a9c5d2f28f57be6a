package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against instances with a narrow link that count as large because of their processor: too few of them begin to serve.
func TestInstanceSizeIsTheSmallerOfProcessorAndLink(t *testing.T) {
	cases := []struct {
		name                string
		cores, linkMegabits float64
		size                int
	}{
		{"link not known", 0.16, 0, 160},
		{"narrow link", 0.16, 10, 10 * millicoresPerMegabit},
		{"wide link", 0.32, 1000, 320},
		{"several cores", 4, 200, 200 * millicoresPerMegabit},
		{"nothing known", 0, 0, 0},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			require.Equal(t, testCase.size, instanceSize(testCase.cores, testCase.linkMegabits))
		})
	}
}
