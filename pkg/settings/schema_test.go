package settings

import (
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"testing"

	"github.com/invopop/jsonschema"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

var update = flag.Bool("update", false, "regenerate the schemas from the Go types")

// reflectSchema generates the schema of a Go type.
func reflectSchema(t *testing.T, value any) []byte {
	reflector := &jsonschema.Reflector{
		Mapper: func(goType reflect.Type) *jsonschema.Schema {
			switch goType {
			case reflect.TypeFor[clock.Milliseconds]():
				return &jsonschema.Schema{
					Type: "string", Pattern: `^([0-9]+(\.[0-9]+)?(ms|s|m|h))+$`,
					Description: `A length of time with its unit, such as "250ms".`,
				}
			case reflect.TypeFor[Bytes]():
				return &jsonschema.Schema{
					Type: "string", Pattern: `^[0-9]+(B|KiB|MiB|GiB)$`,
					Description: `A size with its unit, such as "64KiB".`,
				}
			default:
				return nil
			}
		},
		Anonymous: true,
	}
	require.NoError(t, reflector.AddGoComments("github.com/jaywheel/jaywheel/pkg/settings", "."))
	text, err := json.MarshalIndent(reflector.Reflect(value), "", "  ")
	require.NoError(t, err)
	return append(text, '\n')
}

func TestSchemasEqualGoTypes(t *testing.T) {
	cases := []struct {
		file     string
		value    any
		embedded []byte
	}{
		{"site.schema.json", &Site{}, SiteSchema},
		{"process.schema.json", &Process{}, ProcessSchema},
		{"gateway.schema.json", &Gateway{}, GatewaySchema},
	}
	for _, testCase := range cases {
		t.Run(testCase.file, func(t *testing.T) {
			text := reflectSchema(t, testCase.value)
			if *update {
				require.NoError(t, os.WriteFile(testCase.file, text, 0o644))
				return
			}
			require.Equal(t, string(text), string(testCase.embedded), "run: go test ./pkg/settings -run Schemas -update")
		})
	}
}
