package control

import (
	"context"
	"sync"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// readersAtOnce is how many load reports are read at the same time. One takes about 6 ms, so this is enough for
// thousands a second; a target that does not answer holds one reader for its timeout.
const readersAtOnce = 16

// Reporter reads load reports, so that the control goroutine never waits for a backend server.
type Reporter struct {
	requests chan ReportRequest
	read     func(context.Context, settings.TargetName, string) (backendserver.Report, error)
	deliver  func(ReportRequest, backendserver.Report, error)
}

// NewReporter returns a reporter that reads by read and gives what it read to deliver.
func NewReporter(
	read func(context.Context, settings.TargetName, string) (backendserver.Report, error),
	deliver func(ReportRequest, backendserver.Report, error),
) *Reporter {
	return &Reporter{requests: make(chan ReportRequest, readersAtOnce), read: read, deliver: deliver}
}

// Ask takes a request if there is room for it, and never blocks.
func (reporter *Reporter) Ask(request ReportRequest) bool {
	select {
	case reporter.requests <- request:
		return true
	default:
		return false
	}
}

// Serve reads until the context ends.
func (reporter *Reporter) Serve(ctx context.Context) error {
	var readers sync.WaitGroup
	for range readersAtOnce {
		readers.Go(func() { reporter.readAll(ctx) })
	}
	readers.Wait()
	return ctx.Err()
}

func (reporter *Reporter) readAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-reporter.requests:
			report, err := reporter.read(ctx, request.Target, request.Path)
			reporter.deliver(request, report, err)
		}
	}
}
