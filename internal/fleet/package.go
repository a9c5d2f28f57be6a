// Package fleet is the control of an instance that finds its fleet by itself and reads what a platform publishes. One
// goroutine owns its state: who serves, who answers for which backend server, and which routes are in force. Traffic sees
// only immutable tables and schedulers.
//
// Each backend server has one owner, a serving instance of its own data centre if there is any. The owner probes it,
// tells the other serving instances what it reads, and alone starts it while it is cold, so that what a cold server bears
// holds for the whole fleet without a word between instances.
//
// # Usage
//
//	controller := fleet.NewController(fleet.Options{...})
//	go controller.Serve(ctx)
//	controller.SetView(ctx, view)
//	table := controller.Table()
package fleet
