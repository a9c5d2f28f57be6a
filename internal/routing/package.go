// Package routing holds the routing table that request goroutines read: the service and class of a request, the Dispatcher or
// Scheduler of each service, and the instances that callers should use.
//
// A Table is immutable. The control goroutine builds a new one and replaces the current one with it; a request uses the table
// with which it started.
//
// # Usage
//
//	table := routing.NewTable(routing.Options{Site: site, Services: services, Registry: registry})
//	route, err := table.Route(request.Host, request.Method, request.URL.EscapedPath())
package routing
