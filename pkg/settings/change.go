package settings

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Change is a field to which an overlay gives another value.
type Change struct {
	Path string          `json:"path"`
	From json.RawMessage `json:"from"`
	To   json.RawMessage `json:"to"`
}

// changesBetween returns the differences between two JSON objects, sorted by path.
func changesBetween(from, to []byte) ([]Change, error) {
	var fromTree, toTree any
	if err := errors.Join(json.Unmarshal(from, &fromTree), json.Unmarshal(to, &toTree)); err != nil {
		return nil, errors.Wrap(err, "compare settings")
	}
	return appendChanges(nil, "", fromTree, toTree)
}

func appendChanges(changes []Change, path string, from, to any) ([]Change, error) {
	fromObject, fromIsObject := from.(map[string]any)
	toObject, toIsObject := to.(map[string]any)
	if !fromIsObject || !toIsObject {
		return appendLeaf(changes, path, from, to)
	}
	keys := map[string]bool{}
	for key := range fromObject {
		keys[key] = true
	}
	for key := range toObject {
		keys[key] = true
	}
	var err error
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if changes, err = appendChanges(changes, join(path, key), fromObject[key], toObject[key]); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

func appendLeaf(changes []Change, path string, from, to any) ([]Change, error) {
	fromText, fromErr := json.Marshal(from)
	toText, toErr := json.Marshal(to)
	if err := errors.Join(fromErr, toErr); err != nil {
		return nil, errors.Wrapf(err, "compare settings at %s", path)
	}
	if string(fromText) == string(toText) {
		return changes, nil
	}
	return append(changes, Change{Path: path, From: fromText, To: toText}), nil
}

// join appends a field to a dot-separated path.
func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
