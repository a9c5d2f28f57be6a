package fleet

import (
	"context"

	"github.com/jaywheel/jaywheel/internal/routing"
)

// Table returns the table in force, or nil while this instance does not know which routes are in force.
func (controller *Controller) Table() *routing.Table {
	return controller.table.Load()
}

// AwaitTable waits a moment for the table of an instance that has none yet, and triggers a stale read of the store after a
// restart. It returns nil if there is no table in time.
func (controller *Controller) AwaitTable(ctx context.Context) *routing.Table {
	ctx, cancel := context.WithTimeout(ctx, tableWaitTimeout.Duration())
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

// readStale triggers a stale read of the store unless one was triggered just now, or the whole fleet starts for the first
// time.
func (controller *Controller) readStale() {
	if controller.options.FleetStarts {
		return
	}
	controller.staleMutex.Lock()
	defer controller.staleMutex.Unlock()
	if now := controller.options.Clock.Now(); now >= controller.nextStaleRead {
		controller.nextStaleRead = now.Add(staleReadInterval)
		controller.catalogReader.ReadStale()
	}
}

// setTable puts a table in force and wakes the requests that wait for it.
func (controller *Controller) setTable(table *routing.Table) {
	if before := controller.table.Load(); before == nil || before.Site.Revision != table.Site.Revision {
		controller.versionSince = controller.options.Clock.Now()
	}
	controller.table.Store(table)
	next := make(chan struct{})
	close(*controller.tableSet.Swap(&next))
}
