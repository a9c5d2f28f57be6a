package caller

import "time"

// Limits for waiting for another goroutine; maxWait is reached only if a test fails.
const (
	maxWait      = time.Minute
	pollInterval = time.Millisecond
)

// sleepInBubble advances the clock of a synctest bubble by a second.
func sleepInBubble() {
	<-time.After(time.Second)
}
