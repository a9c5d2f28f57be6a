package fleet

import (
	"context"

	"github.com/jaywheel/jaywheel/internal/routing"
)

// Table returns the table in force, or nil while this instance doesn't know what is in force.
func (controller *Controller) Table() *routing.Table {
	return controller.table.Load()
}

// AwaitTable waits a moment for the table of an instance that has none yet, and has an old view read for it after a restart. It returns nil
// when there is none in time.
func (controller *Controller) AwaitTable(ctx context.Context) *routing.Table {
	ctx, cancel := context.WithTimeout(ctx, awaitTable.Duration())
	defer cancel()
	controller.readStale()
	for {
		tableSet := *controller.tableSet.Load()
		if table := controller.table.Load(); table != nil {
			return table
		}
		select {
		case <-tableSet:
		case <-ctx.Done():
			return nil
		}
	}
}

// readStale has an old view read, unless that was done just now.
func (controller *Controller) readStale() {
	if controller.options.FleetStarts {
		return
	}
	controller.staleMutex.Lock()
	defer controller.staleMutex.Unlock()
	if now := controller.options.Clock.Now(); now >= controller.nextStaleRead {
		controller.nextStaleRead = now.Add(staleReadEvery)
		controller.feed.ReadStale()
	}
}

// setTable puts a table in force.
func (controller *Controller) setTable(table *routing.Table) {
	controller.table.Store(table)
	next := make(chan struct{})
	close(*controller.tableSet.Swap(&next))
}
