package control

import (
	"context"
	"sync"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// maxConcurrentReads is how many load reports are read at the same time. A read takes about 6 ms, so this is enough for
// thousands per second; a target that does not respond occupies one reader until the timeout.
const maxConcurrentReads = 16

// ReportReader reads load reports in goroutines of its own, so that the control goroutine never waits for a backend server.
type ReportReader struct {
	// Guard recovers panics of reading and delivering reports; nil lets them pass. It must be set before Serve.
	Guard *supervisor.Guard

	requests chan ReportRequest
	read     func(context.Context, settings.TargetName, string) (backendserver.Report, error)
	deliver  func(ReportRequest, backendserver.Report, error)
}

// NewReportReader returns a reader that fetches each report with read and passes the result to deliver.
func NewReportReader(
	read func(context.Context, settings.TargetName, string) (backendserver.Report, error),
	deliver func(ReportRequest, backendserver.Report, error),
) *ReportReader {
	return &ReportReader{requests: make(chan ReportRequest, maxConcurrentReads), read: read, deliver: deliver}
}

// Enqueue queues a request, and reports false if the queue is full. It never blocks.
func (reportReader *ReportReader) Enqueue(request ReportRequest) bool {
	select {
	case reportReader.requests <- request:
		return true
	default:
		return false
	}
}

// Serve reads reports until the context ends, and returns the context's error.
func (reportReader *ReportReader) Serve(ctx context.Context) error {
	var readers sync.WaitGroup
	for range maxConcurrentReads {
		readers.Go(func() { reportReader.readLoop(ctx) })
	}
	readers.Wait()
	return ctx.Err()
}

func (reportReader *ReportReader) readLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-reportReader.requests:
			_ = reportReader.Guard.Run("report", func() {
				report, err := reportReader.read(ctx, request.Target, request.Path)
				reportReader.deliver(request, report, err)
			})
		}
	}
}
