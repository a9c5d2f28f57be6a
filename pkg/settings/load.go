package settings

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Loaded is a site's settings and the changes that its overlay makes.
type Loaded struct {
	// Site is the effective result, with defaults filled in.
	Site *Site
	// Changes lists the fields to which the overlay gives another value than the base file.
	Changes []Change
}

// LoadSite loads and validates a base file and an overlay; overlayPath may be empty. For invalid settings IsErrInvalid
// reports true of the error, which carries every problem with the file that contains the field; any other error means
// that a file could not be read.
func LoadSite(basePath, overlayPath string) (*Loaded, error) {
	base, overlay, err := readPair(basePath, overlayPath)
	if err != nil {
		return nil, err
	}
	site := &Site{}
	merged, err := decodePair(base, overlay, siteDefinition, site)
	if err != nil {
		return nil, err
	}
	site.applyDefaults()
	if err := invalid(attributeToOverlay(site.check(base.name), base, overlay)); err != nil {
		return nil, err
	}
	changes, err := changesBetween(base.text, merged)
	return &Loaded{Site: site, Changes: changes}, err
}

// LoadProcess loads and validates an instance's own file and an overlay; overlayPath may be empty. Its errors are those
// of LoadSite.
func LoadProcess(basePath, overlayPath string) (*Process, error) {
	base, overlay, err := readPair(basePath, overlayPath)
	if err != nil {
		return nil, err
	}
	process := &Process{}
	if _, err := decodePair(base, overlay, processDefinition, process); err != nil {
		return nil, err
	}
	process.ApplyDefaults()
	return process, invalid(attributeToOverlay(process.check(base.name), base, overlay))
}

// ParseSiteDocument parses and validates a published site document, which contains no services. Problems carry key as
// their file. IsErrInvalid reports true of its errors.
func ParseSiteDocument(key string, text []byte) (*Site, error) {
	site := &Site{}
	if _, err := decodePair(document{name: key, text: text}, nil, siteDefinition, site); err != nil {
		return nil, err
	}
	if len(site.Services) > 0 {
		return nil, invalid([]Problem{{File: key, Path: "services", Reason: "services must be published in their own documents"}})
	}
	site.applyDefaults()
	return site, invalid(site.checkSite(key))
}

// ParseServiceDocument parses and validates a published service document. Problems carry key as their file.
// IsErrInvalid reports true of its errors. Service.CheckAgainst compares the service with its site.
func ParseServiceDocument(key string, text []byte) (*Service, error) {
	service := &Service{}
	if _, err := decodePair(document{name: key, text: text}, nil, serviceDefinition, service); err != nil {
		return nil, err
	}
	service.applyDefaults()
	return service, invalid(service.check(key, ""))
}

func readPair(basePath, overlayPath string) (document, *document, error) {
	base, err := readDocument(basePath)
	if err != nil || overlayPath == "" {
		return base, nil, err
	}
	overlay, err := readDocument(overlayPath)
	return base, &overlay, err
}

func readDocument(path string) (document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return document{}, errors.Wrap(err, "read settings")
	}
	return document{name: path, text: text}, nil
}

// decodePair merges base and overlay, validates the result against the JSON Schema and decodes it. It returns the merged
// text.
func decodePair(base document, overlay *document, definition string, into any) ([]byte, error) {
	problems := base.checkText()
	if overlay != nil {
		problems = append(problems, overlay.checkText()...)
	}
	merged := base.text
	if overlay != nil && len(problems) == 0 {
		patched, err := jsonpatch.MergePatch(base.text, overlay.text)
		if err != nil {
			return nil, invalid([]Problem{{File: overlay.name, Reason: err.Error()}})
		}
		merged = patched
	}
	if !json.Valid(merged) {
		return nil, invalid(problems)
	}
	problems = append(problems, attributeToOverlay(validateSchema(definition, base.name, merged), base, overlay)...)
	if len(problems) > 0 {
		return nil, invalid(problems)
	}
	return merged, invalid(attributeToOverlay(decode(base.name, merged, into), base, overlay))
}

// attributeToOverlay sets the file of problems to the overlay if the overlay sets the field.
func attributeToOverlay(problems []Problem, base document, overlay *document) []Problem {
	if overlay == nil {
		return problems
	}
	for index, problem := range problems {
		if problem.File == base.name && problem.Path != "" && overlay.has(problem.Path) {
			problems[index].File = overlay.name
		}
	}
	return problems
}
