// Package caller serves HTTP to callers: it forwards their requests to backend servers and the responses back, and lists the
// addresses of the instances that a caller may use for a service.
//
// # Usage
//
//	handler := caller.NewHandler(caller.Options{Table: control.Table, Servers: servers, ...})
//	server := caller.NewServer(handler, processSettings.Callers, &registry.Events)
//	listener, err := caller.Listen("10.0.0.4:8080", processSettings.Callers, &registry.Events)
//	server.Serve(listener)
package caller
