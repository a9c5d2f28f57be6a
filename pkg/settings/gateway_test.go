package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const gatewayText = `{"instance":"entry-1","dataCentre":"sofia-a","callerAddress":"10.0.0.1:80","readyAddress":"10.0.0.1:81",
"directoryAddress":"10.0.0.1:82","peerAddress":"10.0.0.1:7000","operatorAddress":"10.0.0.1:83","seeds":["10.0.0.2:83"],
"storeAddress":"10.9.0.1:80"}`

// Guards against starting with invalid settings: the error must name the invalid field.
func TestLoadGateway(t *testing.T) {
	cases := []struct {
		name, from, to, problem string
	}{
		{"valid", "", "", ""},
		{"host name for an IP address", "10.9.0.1:80", "store:80", "storeAddress"},
		{"seed without a port", "10.0.0.2:83", "10.0.0.2", "seeds.0"},
		{"unknown field", `"seeds"`, `"sedes":1,"seeds"`, "sedes"},
		{"empty name", `"entry-1"`, `""`, "instance"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "gateway.json")
			require.NoError(t, os.WriteFile(path, []byte(strings.Replace(gatewayText, testCase.from, testCase.to, 1)), 0o600))
			loaded, err := LoadGateway(path)
			if testCase.problem == "" {
				require.NoError(t, err)
				require.Equal(t, "10.0.0.2:7000", loaded.SeedAddresses()[0].String())
				return
			}
			require.True(t, IsErrInvalid(err))
			require.ErrorContains(t, err, testCase.problem)
		})
	}
}
