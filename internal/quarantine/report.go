package quarantine

import (
	"math"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// blockReportInterval is how often the others are told of a request that is still quarantined: they may have started since.
	blockReportInterval = 5 * clock.Second
	// maxReported bounds each list of a report, which fits into one packet.
	maxReported = 10
)

// End reports that a server ended while it had a request.
type End struct {
	_       struct{} `cbor:",toarray"`
	Server  Server
	Request Digest
	// SentAgeMs is how long ago the request was sent to the server, LostAgeMs how long ago it was lost, in milliseconds.
	SentAgeMs, LostAgeMs uint32
}

// Block reports that a request is quarantined.
type Block struct {
	_       struct{} `cbor:",toarray"`
	Request Digest
	// ForMs is for how long it still is, in milliseconds.
	ForMs uint32
}

// Report is what instances tell each other. Receiving it twice, or late, does no harm.
type Report struct {
	_      struct{} `cbor:",toarray"`
	Ends   []End
	Blocks []Block
	// Sound are requests that servers have answered.
	Sound []Digest
}

// Empty reports whether the report contains nothing.
func (report *Report) Empty() bool {
	return len(report.Ends) == 0 && len(report.Blocks) == 0 && len(report.Sound) == 0
}

// TakeReport returns what the other instances are to be told now. More may be left for the next call.
func (quarantine *Quarantine) TakeReport(now clock.Moment) Report {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	quarantine.removeOld(now)
	report := quarantine.takeLists(now)
	for digest, known := range quarantine.suspects {
		if known.own && now < known.blockedUntil && now >= known.nextReport && len(report.Blocks) < maxReported {
			known.nextReport = now.Add(blockReportInterval)
			report.Blocks = append(report.Blocks, Block{Request: digest, ForMs: uint32(known.blockedUntil.Since(now))})
		}
	}
	return report
}

// takeLists takes the first of the ends and of the sound requests that are to be reported.
func (quarantine *Quarantine) takeLists(now clock.Moment) Report {
	ends, sound := min(len(quarantine.unreported), maxReported), min(len(quarantine.sound), maxReported)
	report := Report{Sound: slices.Clone(quarantine.sound[:sound])}
	for _, end := range quarantine.unreported[:ends] {
		report.Ends = append(report.Ends, End{
			Server: end.server, Request: end.lost.Request, SentAgeMs: ageOf(now, end.lost.SentAt), LostAgeMs: ageOf(now, end.lost.LostAt),
		})
	}
	quarantine.unreported, quarantine.sound = quarantine.unreported[ends:], quarantine.sound[sound:]
	return report
}

// ageOf returns the time since a moment in whole milliseconds.
func ageOf(now, at clock.Moment) uint32 {
	return uint32(min(max(now.Since(at), 0), math.MaxUint32))
}

// Receive applies the report of another instance.
func (quarantine *Quarantine) Receive(report Report) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.options.Clock.Now()
	for _, digest := range report.Sound {
		quarantine.remove(digest)
	}
	ends := make([]end, 0, len(report.Ends))
	for _, reported := range report.Ends {
		ends = append(ends, end{server: reported.Server, lost: Lost{
			Request: reported.Request, SentAt: now.Add(-clock.Milliseconds(reported.SentAgeMs)), LostAt: now.Add(-clock.Milliseconds(reported.LostAgeMs)),
		}})
	}
	quarantine.recordEnds(ends)
	for _, block := range report.Blocks {
		quarantine.receiveBlock(now, block)
	}
}

func (quarantine *Quarantine) receiveBlock(now clock.Moment, block Block) {
	known := quarantine.suspectOf(now, block.Request)
	if known == nil {
		return
	}
	until := now.Add(min(clock.Milliseconds(block.ForMs), maxBlock))
	if until > known.blockedUntil {
		known.blockedUntil, known.blockTime = until, max(known.blockTime, firstBlock)
	}
}
