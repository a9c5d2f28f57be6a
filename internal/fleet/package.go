// Package fleet is the control loop of an instance in a fleet of equal instances, which finds its members by itself and reads
// the catalog that a platform publishes. One goroutine owns its state: which instances serve, which instance owns which
// backend server, and which routes are in force. Request handling sees only immutable tables and schedulers.
//
// Each backend server has one owner: a serving instance of its own data centre if there is one. The owner probes the server,
// sends its load readings to the other serving instances, and alone sends requests to it while it is cold, so that the limit
// of a cold server holds for the whole fleet without coordination between instances.
//
// # Usage
//
//	controller := fleet.NewController(fleet.Options{...})
//	go controller.Serve(ctx)
//	controller.SetView(ctx, view)
//	table := controller.Table()
package fleet
