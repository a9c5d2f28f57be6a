package caller

import "time"

// Bounds of waiting for another goroutine; only a broken test reaches the first.
const (
	maxWait      = time.Minute
	pollInterval = time.Millisecond
)

// sleepInBubble lets the clock of a synctest bubble run for a second.
func sleepInBubble() {
	<-time.After(time.Second)
}
