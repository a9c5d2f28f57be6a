package hangup

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against SIGHUP ending an instance that is starting. The signal ends the process until this package is initialised, after its
// dependencies. The package must therefore depend on nothing but the standard library.
func TestNothingIsInitialisedBefore(t *testing.T) {
	text, err := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}", ".").Output()
	require.NoError(t, err)
	require.Equal(t, []string{"github.com/jaywheel/jaywheel/internal/hangup"}, strings.Fields(string(text)))
}
