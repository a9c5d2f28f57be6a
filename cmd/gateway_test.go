package cmd

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/logoutput"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against an instance that does not start because its settings are still being written, and against one that waits forever for
// settings that stay invalid.
func TestSettingsAreAwaited(t *testing.T) {
	const complete = `{"instance":"entry-1","dataCentre":"sofia-a","callerAddress":"10.0.0.1:80","readyAddress":"10.0.0.1:81",
"directoryAddress":"10.0.0.1:82","peerAddress":"10.0.0.1:7000","operatorAddress":"10.0.0.1:83","seeds":[],"storeAddress":"10.9.0.1:80"}`
	cases := []struct {
		name string
		// texts are the contents of the file at each read; the last one stays. A file with the content missing does not exist.
		texts  []string
		signal bool
		loaded bool
		reads  int
		after  clock.Milliseconds
		err    string
	}{
		{"complete", []string{complete}, false, true, 1, 0, ""},
		{"missing at first", []string{missing, missing, complete}, false, true, 3, 2 * settingsRetryInterval, ""},
		{"empty at first", []string{"", complete}, false, true, 2, settingsRetryInterval, ""},
		{"half written at first", []string{complete[:100], complete[:200], complete}, false, true, 3, 2 * settingsRetryInterval, ""},
		{"old text after the new one", []string{complete + `8543"}`, complete}, false, true, 2, settingsRetryInterval, ""},
		{"invalid", []string{`{"instance":1}`}, false, false, 1, 0, "instance: got number, want string"},
		{"always missing", []string{missing}, false, false, 60, settingsTimeout, "no such file"},
		{"always empty", []string{""}, false, false, 60, settingsTimeout, "gateway.json: unexpected EOF"},
		{"always incomplete", []string{complete[:200]}, false, false, 60, settingsTimeout, "unexpected EOF"},
		{"a signal", []string{missing}, true, false, 1, 0, ""},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "gateway.json")
			synctest.Test(t, func(t *testing.T) {
				signals := make(chan os.Signal, 1)
				if testCase.signal {
					signals <- syscall.SIGTERM
				}
				output := logoutput.New(&silent{}, &metrics.NewRegistry().Events)
				defer output.Close()
				gatewayRun := &gatewayRun{path: path, output: output, signals: signals}
				started, reads := time.Now(), 0
				loaded, err := gatewayRun.awaitSettings(func() error {
					writeOrRemove(t, path, testCase.texts[min(reads, len(testCase.texts)-1)])
					reads++
					return gatewayRun.load()
				})
				require.Equal(t, testCase.loaded, loaded)
				require.InDelta(t, testCase.reads, reads, 1)
				require.Equal(t, testCase.after, clock.Of(time.Since(started)))
				if testCase.err == "" {
					require.NoError(t, err)
					return
				}
				require.ErrorContains(t, err, testCase.err)
				require.ErrorContains(t, err, path)
				require.Equal(t, testCase.texts[0] != missing, settings.IsErrInvalid(err))
			})
		})
	}
}

// missing is the content of a file that does not exist.
const missing = "missing"

func writeOrRemove(t *testing.T, path, text string) {
	if text != missing {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return
	}
	if err := os.Remove(path); err != nil {
		require.ErrorIs(t, err, os.ErrNotExist)
	}
}

// silent discards what is written.
type silent struct{}

func (*silent) Write(text []byte) (int, error) { return len(text), nil }
