package settings

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// loadTextFields loads a file that the deployment template filled in, with cores and bounds as text.
func loadTextFields(t *testing.T, cores string, bounds map[string]string) (*Gateway, error) {
	lines := make([]string, 0, len(bounds))
	for name, text := range bounds {
		lines = append(lines, fmt.Sprintf("%q: %q", name, text))
	}
	path := filepath.Join(t.TempDir(), "gateway.json")
	text := fmt.Sprintf(`{"instance": "front-1", "dataCentre": "sofia-a", "region": "", "callerAddress": "10.0.0.1:1", "readyAddress": "10.0.0.1:2",
		"directoryAddress": "10.0.0.1:3", "operatorAddress": "10.0.0.1:4", "peerAddress": "10.0.0.1:5", "seeds": [], "storeAddress": "10.0.0.1:6",
		"cores": %q, "bounds": {%s}}`, cores, strings.Join(lines, ", "))
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return LoadGateway(path)
}

// Guards against a fleet that does not start because a deployment fills in a bound as a fraction, not at all, or out of range.
func TestTextFieldsOfAnyForm(t *testing.T) {
	cases := []struct {
		name, field, text string
		actual            func(*Gateway) any
		expected          any
		warnings          int
	}{
		{"a whole number", "retrySlack", "186", func(gateway *Gateway) any { return gateway.Bounds.RetrySlack }, 186, 0},
		{"a fraction for a count", "retrySlack", "22.1428", func(gateway *Gateway) any { return gateway.Bounds.RetrySlack }, 22, 0},
		{"a whole number with a point", "retrySlack", "186.0", func(gateway *Gateway) any { return gateway.Bounds.RetrySlack }, 186, 0},
		{"an exponent", "retrySlack", "1.86e2", func(gateway *Gateway) any { return gateway.Bounds.RetrySlack }, 186, 0},
		{"empty", "retrySlack", "", func(gateway *Gateway) any { return gateway.Bounds.RetrySlack }, 40, 0},
		{"a word", "retrySlack", "many", func(gateway *Gateway) any { return gateway.Bounds.RetrySlack }, 40, 1},
		{"below zero", "retrySlack", "-3", func(gateway *Gateway) any { return gateway.Bounds.RetrySlack }, 0, 0},
		{"no retries beyond the share", "retrySlack", "0", func(gateway *Gateway) any { return gateway.Bounds.RetrySlack }, 0, 0},
		{"a word with a unit", "leaveMost", "manys", func(gateway *Gateway) any { return gateway.Bounds.DrainTimeout }, 6 * clock.Second, 1},
		{"far too large", "retrySlack", "1e300", func(gateway *Gateway) any { return gateway.Bounds.RetrySlack }, maxCount, 0},
		{"not a number", "retryShare", "NaN", func(gateway *Gateway) any { return gateway.Bounds.RetryShare }, 0.2, 1},
		{"a share above one", "retryShare", "7", func(gateway *Gateway) any { return gateway.Bounds.RetryShare }, 1.0, 0},
		{"no probes", "probesPerSecond", "0", func(gateway *Gateway) any { return gateway.Bounds.ProbesPerSecond }, minPositive, 0},
		{"a unit without a number", "leaveMost", "s", func(gateway *Gateway) any { return gateway.Bounds.DrainTimeout }, 6 * clock.Second, 0},
		{"a duration that is empty", "leaveMost", "", func(gateway *Gateway) any { return gateway.Bounds.DrainTimeout }, 6 * clock.Second, 0},
		{"a duration of blanks", "answerKeptMost", "  ", func(gateway *Gateway) any { return gateway.Bounds.MaxAddressTTL }, 5 * clock.Second, 0},
		{"a duration without a unit", "answerKeptMost", "3", func(gateway *Gateway) any { return gateway.Bounds.MaxAddressTTL }, 5 * clock.Second, 1},
		{"a duration in an unknown unit", "quotaWindow", "3 years", func(gateway *Gateway) any { return gateway.Bounds.QuotaWindow }, 5 * clock.Second, 1},
		{"a duration with a sign", "quotaWindow", "+3s", func(gateway *Gateway) any { return gateway.Bounds.QuotaWindow }, 3 * clock.Second, 0},
		{"a negative duration", "revokeWithin", "-3m", func(gateway *Gateway) any { return gateway.Bounds.RevokeWithin }, 5 * clock.Second, 1},
		{"a duration that is far too long", "leaveMost", "9e300h", func(gateway *Gateway) any { return gateway.Bounds.DrainTimeout }, 6 * clock.Second, 1},
		{"a duration that is too long", "leaveMost", "100h", func(gateway *Gateway) any { return gateway.Bounds.DrainTimeout }, 60 * clock.Minute, 0},
		{"an exponent with a unit", "leaveMost", "6e0s", func(gateway *Gateway) any { return gateway.Bounds.DrainTimeout }, 6 * clock.Second, 0},
		{"a fraction with a unit", "answerKeptMost", "2.5s", func(gateway *Gateway) any { return gateway.Bounds.MaxAddressTTL }, 2500 * clock.Millisecond, 0},
		{"a duration in another unit", "answerKeptMost", "250ms", func(gateway *Gateway) any { return gateway.Bounds.MaxAddressTTL }, 250 * clock.Millisecond, 0},
		{"true", "failClosed", "true", func(gateway *Gateway) any { return gateway.Bounds.FailClosed }, true, 0},
		{"neither true nor false", "failClosed", "perhaps", func(gateway *Gateway) any { return gateway.Bounds.FailClosed }, false, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			gateway, err := loadTextFields(t, "0.16", map[string]string{testCase.field: testCase.text})
			require.NoError(t, err)
			require.Equal(t, testCase.expected, testCase.actual(gateway))
			require.Len(t, gateway.Warnings, testCase.warnings)
			require.InDelta(t, 0.16, gateway.Cores, 1e-9)
		})
	}
}

// Guards against a combination of malformed values that keeps an instance from starting or puts a bound out of its range.
func TestRandomTextFields(t *testing.T) {
	forms := []string{
		"", "s", "0", "1", "186", "186.0", "22.1428", "1.86e2", "1e300", "-1", "-1e300", "NaN", "Inf", "many", "true", "0x10", " 5 ", "5s", "2.5s", "null", "[]",
	}
	random := rand.New(rand.NewPCG(7, 7))
	draw := func() string { return forms[random.IntN(len(forms))] }
	for range 300 {
		bounds := map[string]string{}
		for _, textField := range gatewayTextFields {
			if textField.section == "bounds" {
				bounds[textField.name] = draw()
			}
			if textField.kind == durationField && random.IntN(2) == 0 {
				bounds[textField.name] = strings.TrimSuffix(bounds[textField.name], "s") + "s"
			}
		}
		gateway, err := loadTextFields(t, draw(), bounds)
		require.NoError(t, err, "%v", bounds)
		require.Positive(t, gateway.Cores)
		require.Positive(t, gateway.Bounds.ProbesPerSecond)
		require.Positive(t, float64(gateway.Bounds.DrainTimeout))
		require.LessOrEqual(t, gateway.Bounds.RetryShare, 1.0)
		require.GreaterOrEqual(t, gateway.Bounds.RetrySlack, 0)
	}
}

// Guards against a process that uses more memory than its machine has, or does not start, because of how a deployment fills in its size.
func TestMemoryOfAnyForm(t *testing.T) {
	for _, testCase := range []struct {
		text     string
		expected Bytes
		warnings int
	}{
		{"284MiB", 284 << 20, 0},
		{"284.0MiB", 284 << 20, 0},
		{"284.5MiB", 284<<20 + 1<<19, 0},
		{"1GiB", 1 << 30, 0},
		{"MiB", 256 << 20, 0},
		{"", 256 << 20, 0},
		{"1MiB", minMemory << 20, 0},
		{"1e30MiB", maxMemory << 20, 0},
		{"284", 256 << 20, 1},
		{"manyMiB", 256 << 20, 1},
		{"-284MiB", 256 << 20, 1},
		{"NaNMiB", 256 << 20, 1},
	} {
		t.Run(testCase.text, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "gateway.json")
			text := fmt.Sprintf(`{"instance": "front-1", "dataCentre": "sofia-a", "callerAddress": "10.0.0.1:1", "readyAddress": "10.0.0.1:2",
				"directoryAddress": "10.0.0.1:3", "operatorAddress": "10.0.0.1:4", "peerAddress": "10.0.0.1:5", "seeds": [], "storeAddress": "10.0.0.1:6",
				"memoryMost": %q}`, testCase.text)
			require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			gateway, err := LoadGateway(path)
			require.NoError(t, err)
			require.Equal(t, testCase.expected, gateway.MaxMemory)
			require.Len(t, gateway.Warnings, testCase.warnings)
		})
	}
}
