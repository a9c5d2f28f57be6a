package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Keys of the documents in the configuration service.
const (
	SiteKey          = "site"
	ServiceKeyPrefix = "service/"
)

// ServiceKey returns the key of a service's document.
func ServiceKey(name ServiceName) string {
	return ServiceKeyPrefix + string(name)
}

// Document is a settings document to publish in the configuration service.
type Document struct {
	Key      string
	Revision Revision
	Text     []byte
}

// FileName returns the path, relative to the output directory, to which WriteDocuments writes the document.
func (document Document) FileName() string {
	return filepath.FromSlash(document.Key) + ".json"
}

// Documents returns the documents to publish: the site without its services, and one document for each service.
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

// WriteDocuments writes the changed documents below directory and returns their keys. If a document changed and its
// revision is not higher than the revision written before, it writes nothing and returns an InvalidError: instances apply
// only higher revisions, so they would ignore such a change without a message.
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
		return false, nil, errors.Wrap(err, "compare with the rendered documents")
	}
	if bytes.Equal(written, document.Text) {
		return false, nil, nil
	}
	var before struct {
		Revision Revision `json:"revision"`
	}
	if err := json.Unmarshal(written, &before); err != nil {
		return false, nil, errors.Wrapf(err, "parse rendered document %s", path)
	}
	if document.Revision > before.Revision {
		return true, nil, nil
	}
	reason := "the document changed, so its revision must be higher than in the rendered document"
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
