// Package routing holds the table that traffic goroutines read: which service and class a request belongs to, the
// Dispatcher of each service, and which instances callers should use.
//
// A Table never changes once it is published. The control goroutine builds a new one and puts it in place of the old;
// a request keeps the table it started with.
//
// # Usage
//
//	table := routing.NewTable(routing.Options{Site: site, Services: services, Registry: registry})
//	route, err := table.Route(request.Host, request.Method, request.URL.Path)
package routing
