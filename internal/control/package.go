// Package control holds the state that an instance decides by: the settings in force, the lists of instances and
// backend servers, what peers say, and which backend servers are cold.
//
// One goroutine owns all of it. Watches, datagrams and load reports reach it as events; it publishes an immutable
// routing.Table for traffic and sets the limits of each service's Dispatcher. When it stands still, traffic goes on
// with what was published last.
//
// # Usage
//
//	controller := control.NewController(control.Options{...})
//	go controller.Serve(ctx)
//	table := controller.Table()
package control
