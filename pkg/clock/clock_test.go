package clock

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMillisecondsAsText(t *testing.T) {
	cases := []struct {
		text string
		want Milliseconds
		back string
	}{
		{"0.5ms", 0.5, "0.5ms"}, {"250ms", 250, "250ms"}, {"2s", 2000, "2s"}, {"90s", 90000, "1m30s"}, {"0s", 0, "0ms"}, {"1.25s", 1250, "1.25s"},
	}
	for _, testCase := range cases {
		var got Milliseconds
		require.NoError(t, got.UnmarshalText([]byte(testCase.text)))
		require.Equal(t, testCase.want, got)
		require.Equal(t, testCase.back, got.String())
		var again Milliseconds
		require.NoError(t, again.UnmarshalText([]byte(got.String())))
		require.Equal(t, got, again)
	}
	for _, text := range []string{"", "5", "soon", "-1s", "3 s", "NaNs"} {
		var got Milliseconds
		require.Error(t, got.UnmarshalText([]byte(text)), "%q", text)
	}
}

// Guards against a timer that is due at once on one kind of machine and never on another, because its duration was out of range.
func TestDurationIsLimited(t *testing.T) {
	const hundredYears = 100 * 365 * 24 * time.Hour
	cases := []struct {
		milliseconds float64
		want         time.Duration
	}{
		{0, 0},
		{0.0000019, time.Nanosecond},
		{-1.5, -1500 * time.Microsecond},
		{1e12, 1e12 * time.Millisecond},
		{3.2e12, hundredYears},
		{1e15, hundredYears},
		{math.MaxInt64, hundredYears},
		{1e308, hundredYears},
		{math.Inf(1), hundredYears},
		{-1e15, -hundredYears},
		{math.MinInt64, -hundredYears},
		{math.Inf(-1), -hundredYears},
		{math.NaN(), 0},
	}
	for _, testCase := range cases {
		require.Equal(t, testCase.want, Milliseconds(testCase.milliseconds).Duration(), "%g ms", testCase.milliseconds)
	}
}

func TestManual(t *testing.T) {
	manual := NewManual()
	start := manual.Now()
	manual.Advance(Second)
	require.Equal(t, Second, manual.Now().Since(start))
	require.Equal(t, start.Add(Second), manual.Now())
	require.Less(t, New().Now(), Moment(Minute))
}
