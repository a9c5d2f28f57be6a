package settings

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Loaded is a site's settings together with how they came about.
type Loaded struct {
	// Site is the effective result, with defaults filled in.
	Site *Site
	// Changes are the fields that the overlay set to something else than the base.
	Changes []Change
}

// LoadSite reads a base file and an overlay; overlayPath may be empty. The error carries every problem, each with the
// file that holds the field.
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

// LoadProcess reads an instance's own file and an overlay; overlayPath may be empty.
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

// ParseSiteDocument reads a published site document, which holds no services. The key names it in problems.
func ParseSiteDocument(key string, text []byte) (*Site, error) {
	site := &Site{}
	if _, err := decodePair(document{name: key, text: text}, nil, siteDefinition, site); err != nil {
		return nil, err
	}
	if len(site.Services) > 0 {
		return nil, invalid([]Problem{{File: key, Path: "services", Reason: "services have documents of their own"}})
	}
	site.applyDefaults()
	return site, invalid(site.checkSite(key))
}

// ParseServiceDocument reads a published service document. The key names it in problems. Whether it fits the site is
// for Service.CheckAgainst to say.
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

// decodePair merges, checks the shape and decodes. It returns the merged text.
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

// attributeToOverlay names the overlay in problems whose field the overlay set.
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
