package settings

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// SiteSchema is the JSON Schema of a site's settings, which editors can use as well. A test keeps it equal to the Go types.
//
//go:embed site.schema.json
var SiteSchema []byte

// ProcessSchema is the JSON Schema of an instance's own settings, the type Process.
//
//go:embed process.schema.json
var ProcessSchema []byte

// GatewaySchema is the JSON Schema of an instance's own settings on a platform whose store holds all other configuration,
// the type Gateway.
//
//go:embed gateway.schema.json
var GatewaySchema []byte

// Definitions in the schemas against which documents are validated.
const (
	siteDefinition    = "site.schema.json#/$defs/Site"
	serviceDefinition = "site.schema.json#/$defs/Service"
	processDefinition = "process.schema.json#/$defs/Process"
	gatewayDefinition = "gateway.schema.json#/$defs/Gateway"
)

// definitions holds the definitions against which documents are validated, each compiled on first use. An instance uses
// only one of them at its start; on a third of a core, compiling all of them took 33 of the 41 ms until it listened. The
// schemas are embedded and tested, so a failure to compile them is a defect of the build.
var definitions = map[string]func() *jsonschema.Schema{
	siteDefinition:    compileOnce(siteDefinition, SiteSchema),
	serviceDefinition: compileOnce(serviceDefinition, SiteSchema),
	processDefinition: compileOnce(processDefinition, ProcessSchema),
	gatewayDefinition: compileOnce(gatewayDefinition, GatewaySchema),
}

// schemaRoot makes the names of the schemas absolute. The compiler looks up the working directory for others, which may have been removed.
const schemaRoot = "jaywheel:///"

func compileOnce(definition string, text []byte) func() *jsonschema.Schema {
	return sync.OnceValue(func() *jsonschema.Schema {
		parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
		if err != nil {
			panic(err)
		}
		schemas := jsonschema.NewCompiler()
		name, _, _ := strings.Cut(definition, "#")
		if err := schemas.AddResource(schemaRoot+name, parsed); err != nil {
			panic(err)
		}
		return schemas.MustCompile(schemaRoot + definition)
	})
}

// validateSchema validates a document against a definition and returns all problems, sorted by path.
func validateSchema(definition, name string, text []byte) []Problem {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return []Problem{{File: name, Reason: err.Error()}}
	}
	err = definitions[definition]().Validate(value)
	validationError, isValidationError := err.(*jsonschema.ValidationError) //nolint:errorlint // The library returns it bare.
	if !isValidationError {
		return nil
	}
	problems := leafProblems(name, validationError)
	slices.SortFunc(problems, func(left, right Problem) int { return strings.Compare(left.Path, right.Path) })
	return problems
}

func leafProblems(name string, validationError *jsonschema.ValidationError) []Problem {
	if len(validationError.Causes) > 0 {
		var problems []Problem
		for _, cause := range validationError.Causes {
			problems = append(problems, leafProblems(name, cause)...)
		}
		return problems
	}
	path := strings.Join(validationError.InstanceLocation, ".")
	if unknown, isUnknown := validationError.ErrorKind.(*kind.AdditionalProperties); isUnknown {
		return unknownFields(name, validationError.InstanceLocation, unknown.Properties)
	}
	reason := validationError.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return []Problem{{File: name, Path: path, Reason: reason}}
}

func unknownFields(name string, location, fields []string) []Problem {
	problems := make([]Problem, 0, len(fields))
	for _, field := range fields {
		path := strings.Join(append(location[:len(location):len(location)], field), ".")
		problems = append(problems, Problem{File: name, Path: path, Reason: "unknown field"})
	}
	return problems
}

// decode unmarshals a document that has been validated against its schema.
func decode(name string, text []byte, into any) []Problem {
	if err := json.Unmarshal(text, into); err != nil {
		return []Problem{{File: name, Reason: err.Error()}}
	}
	return nil
}
