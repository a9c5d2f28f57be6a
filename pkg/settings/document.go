package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxNesting limits the nesting depth of a document, so that a malicious document can't exhaust the stack.
const maxNesting = 32

// document is a JSON text and the file name that its problems carry.
type document struct {
	name string
	text []byte
}

// checkText finds what the JSON decoder ignores: duplicate keys, of which the last one wins, and text after the end of
// the document.
func (document document) checkText() []Problem {
	decoder := json.NewDecoder(bytes.NewReader(document.text))
	decoder.UseNumber()
	scanner := &keyScanner{name: document.name, decoder: decoder}
	if err := scanner.value(nil); err != nil {
		return append(scanner.problems, Problem{File: document.name, Reason: describeSyntax(document.text, err)})
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		scanner.add(nil, "text after the end of the document")
	}
	return scanner.problems
}

// describeSyntax returns the text of a syntax error with its line number.
func describeSyntax(text []byte, err error) string {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	var syntaxError *json.SyntaxError
	if !errors.As(err, &syntaxError) {
		return err.Error()
	}
	offset := min(int(syntaxError.Offset), len(text))
	line := 1 + bytes.Count(text[:offset], []byte("\n"))
	return "line " + strconv.Itoa(line) + ": " + syntaxError.Error()
}

type keyScanner struct {
	name     string
	decoder  *json.Decoder
	problems []Problem
}

var errNestingTooDeep = errors.Newf("nested deeper than %d levels", maxNesting)

func (scanner *keyScanner) add(path []string, reason string) {
	scanner.problems = append(scanner.problems, Problem{File: scanner.name, Path: strings.Join(path, "."), Reason: reason})
}

func (scanner *keyScanner) value(path []string) error {
	if len(path) > maxNesting {
		return errNestingTooDeep
	}
	token, err := scanner.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return scanner.object(path)
	case json.Delim('['):
		return scanner.array(path)
	default:
		return nil
	}
}

func (scanner *keyScanner) object(path []string) error {
	seen := map[string]bool{}
	for scanner.decoder.More() {
		token, err := scanner.decoder.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		keyPath := append(path[:len(path):len(path)], key)
		if seen[key] {
			scanner.add(keyPath, "the key is duplicated")
		}
		seen[key] = true
		if err := scanner.value(keyPath); err != nil {
			return err
		}
	}
	_, err := scanner.decoder.Token()
	return err
}

func (scanner *keyScanner) array(path []string) error {
	for index := 0; scanner.decoder.More(); index++ {
		if err := scanner.value(append(path[:len(path):len(path)], strconv.Itoa(index))); err != nil {
			return err
		}
	}
	_, err := scanner.decoder.Token()
	return err
}

// has reports whether the document sets the field at path, or sets one of its parents to a value that is not an object.
func (document document) has(path string) bool {
	var node any
	if json.Unmarshal(document.text, &node) != nil {
		return false
	}
	for key := range strings.SplitSeq(path, ".") {
		object, isObject := node.(map[string]any)
		if !isObject {
			return true
		}
		child, found := object[key]
		if !found {
			return false
		}
		node = child
	}
	return true
}
