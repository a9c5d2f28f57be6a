package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// timeFor predicts how long work takes on the target if it follows its target's pace.
func (candidate *candidate) timeFor(now clock.Moment, work clock.Milliseconds, mean, overSpells float64) clock.Milliseconds {
	outlook := candidate.outlookAt(now, mean)
	return outlook.forecast(now, work, overSpells).followed
}
