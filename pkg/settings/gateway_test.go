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
		{"two servers at one address", "10.0.0.1:82", "10.0.0.1:81", "directoryAddress: the same address as readyAddress"},
		{"any port twice", "10.0.0.1:81\",\n\"directoryAddress\":\"10.0.0.1:82", "10.0.0.1:0\",\n\"directoryAddress\":\"10.0.0.1:0", ""},
		{"seed without a port", "10.0.0.2:83", "10.0.0.2", "seeds.0"},
		{"misspelled field that is required", `"seeds"`, `"sedes"`, "missing property 'seeds'"},
		{"duplicated field", `"seeds"`, `"instance":"entry-2","seeds"`, "instance: the key is duplicated"},
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

// Guards against an instance that does not start because a deployment fills in fields that it does not know. A typing error must still be
// named, and an unknown field must not replace the one whose name differs in case.
func TestUnknownFieldsOfAGateway(t *testing.T) {
	cases := []struct {
		name, fields string
		warnings     []string
	}{
		{"none", ``, nil},
		{"misspelled", `"sedes":1,`, []string{"sedes: unknown field, ignored"}},
		{"of another case", `"SEEDS":1,"Instance":"entry-2",`, []string{"Instance: unknown field, ignored", "SEEDS: unknown field, ignored"}},
		{"an object", `"limits":{"files":{"most":[1]}},`, []string{"limits: unknown field, ignored"}},
		{"with a dot", `"bounds.leaveMost":"1s",`, []string{"bounds.leaveMost: unknown field, ignored"}},
		{"of the bounds", `"bounds":{"leaveMost":"3s","leavMost":"1s"},`, []string{"bounds.leavMost: unknown field, ignored"}},
		{"Go's name of a field", `"LogLevel":"debug","Warnings":[],"-":1,`, []string{
			"-: unknown field, ignored", "LogLevel: unknown field, ignored", "Warnings: unknown field, ignored",
		}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "gateway.json")
			require.NoError(t, os.WriteFile(path, []byte(strings.Replace(gatewayText, "{", "{"+testCase.fields, 1)), 0o600))
			loaded, err := LoadGateway(path)
			require.NoError(t, err)
			require.Equal(t, InstanceName("entry-1"), loaded.Instance)
			require.Len(t, loaded.Seeds, 1)
			require.Equal(t, "info", loaded.LogLevel)
			var warnings []string
			for _, warning := range loaded.Warnings {
				require.Equal(t, path, warning.File)
				warnings = append(warnings, warning.Path+": "+warning.Reason)
			}
			require.Equal(t, testCase.warnings, warnings)
		})
	}
}

// Guards against a misspelled field in a file that an operator writes by hand.
func TestProcessSettingsRejectUnknownFields(t *testing.T) {
	text, err := os.ReadFile("../../examples/instance.json")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "instance.json")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(text), "{", `{"sedes":1,`, 1)), 0o600))
	_, err = LoadProcess(path, "")
	require.True(t, IsErrInvalid(err))
	require.ErrorContains(t, err, "sedes: unknown field")
}
