package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Keys of the documents at the configuration service.
const (
	SiteKey          = "site"
	ServiceKeyPrefix = "service/"
)

// ServiceKey returns the key of a service's document.
func ServiceKey(name ServiceName) string {
	return ServiceKeyPrefix + string(name)
}

// Document is one text to publish.
type Document struct {
	Key      string
	Revision Revision
	Text     []byte
}

// FileName is the name under which render writes the document.
func (document Document) FileName() string {
	return filepath.FromSlash(document.Key) + ".json"
}

// Documents splits a site into what is published: the site without its services, and each service.
func (site *Site) Documents() ([]Document, error) {
	withoutServices := *site
	withoutServices.Services = nil
	withoutServices.ServiceNames = sortedKeys(site.Services)
	siteDocument, err := newDocument(SiteKey, site.Revision, withoutServices)
	if err != nil {
		return nil, err
	}
	documents := []Document{siteDocument}
	for _, name := range sortedKeys(site.Services) {
		service := site.Services[name]
		serviceDocument, err := newDocument(ServiceKey(name), service.Revision, service)
		if err != nil {
			return nil, err
		}
		documents = append(documents, serviceDocument)
	}
	return documents, nil
}

func newDocument(key string, revision Revision, value any) (Document, error) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return Document{}, errors.Wrapf(err, "render %s", key)
	}
	return Document{Key: key, Revision: revision, Text: append(text, '\n')}, nil
}

// WriteDocuments writes documents below directory and returns the keys that changed. It writes nothing when a document
// changed while its revision did not rise above the one written before: instances never apply a revision that is not
// higher, so such a change would be in force nowhere and nobody would be told.
func WriteDocuments(directory string, documents []Document) ([]string, error) {
	var changed []Document
	var problems []Problem
	for _, document := range documents {
		path := filepath.Join(directory, document.FileName())
		differs, problem, err := compareWithWritten(path, document)
		if err != nil {
			return nil, err
		}
		if problem != nil {
			problems = append(problems, *problem)
		}
		if differs {
			changed = append(changed, document)
		}
	}
	if err := invalid(problems); err != nil {
		return nil, err
	}
	return writeFiles(directory, changed)
}

func compareWithWritten(path string, document Document) (bool, *Problem, error) {
	written, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return true, nil, nil
	}
	if err != nil {
		return false, nil, errors.Wrap(err, "compare with what was rendered before")
	}
	if bytes.Equal(written, document.Text) {
		return false, nil, nil
	}
	var before struct {
		Revision Revision `json:"revision"`
	}
	if err := json.Unmarshal(written, &before); err != nil {
		return false, nil, errors.Wrapf(err, "read %s, rendered before", path)
	}
	if document.Revision > before.Revision {
		return true, nil, nil
	}
	reason := "the document changed, so its revision must be higher than the one rendered before"
	return true, &Problem{File: path, Path: "revision", Reason: reason}, nil
}

func writeFiles(directory string, documents []Document) ([]string, error) {
	var keys []string
	for _, document := range documents {
		path := filepath.Join(directory, document.FileName())
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return keys, errors.Wrap(err, "write rendered documents")
		}
		if err := os.WriteFile(path, document.Text, 0o644); err != nil {
			return keys, errors.Wrap(err, "write rendered documents")
		}
		keys = append(keys, document.Key)
	}
	return keys, nil
}
