// Package control holds the control state of an instance: the settings in force, the lists of instances and backend
// servers, the state reported by peers, and which backend servers are cold.
//
// One goroutine owns all of this state. Watches, datagrams and load reports reach it as events; it publishes an immutable
// routing.Table for traffic and sets the limits of each service's Dispatcher. If the goroutine stalls, requests are still
// handled with the last published table.
//
// # Usage
//
//	controller := control.NewController(control.Options{...})
//	go controller.Serve(ctx)
//	table := controller.Table()
package control
