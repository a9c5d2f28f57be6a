// Package pipeline decides how requests are handled that a caller sends on an HTTP/1.1 connection before earlier ones have been
// answered: which of them are served at the same time, in which order their responses are sent, and which count as not read when the
// connection closes. It performs no I/O.
//
// # Usage
//
//	length, framing := pipeline.Split(unread, maxHeadBytes)
//	if framing == pipeline.Concurrent {
//		number, started := sequence.Start()
//		...
//	}
//	...
//	sequence.Hold(number, len(response))
//	for sequence.InProgress() > 0 && sequence.HasTurn(number) { ... }
package pipeline
