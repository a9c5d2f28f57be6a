package logoutput

import (
	"bytes"
	"expvar"
	"log" //nolint:depguard // The packages of the standard library accept no other logger.

	"github.com/rs/zerolog"
)

// EventLibraryLine counts the lines that libraries log.
const EventLibraryLine = "log.libraryLine"

// CountLibraryLines counts the lines that libraries pass to package log instead of writing them to standard error: a peer can cause one
// with each response, for example by bytes after its end, and the goroutine that reads the connection would write it. Only panics of HTTP
// handlers are logged.
func CountLibraryLines(events *expvar.Map, logger zerolog.Logger) {
	log.SetFlags(0)
	log.SetOutput(&lineCounter{events: events, log: logger})
}

type lineCounter struct {
	events *expvar.Map
	log    zerolog.Logger
}

// panicPrefix begins the line that package net/http logs for a panic of a handler.
var panicPrefix = []byte("http: panic serving")

// Write implements io.Writer.
func (lineCounter *lineCounter) Write(line []byte) (int, error) {
	lineCounter.events.Add(EventLibraryLine, 1)
	if bytes.HasPrefix(line, panicPrefix) {
		lineCounter.log.Error().Bytes("problem", line).Msg("a handler panicked")
	}
	return len(line), nil
}
