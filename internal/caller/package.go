// Package caller speaks HTTP to callers: it answers which instances to use, and takes their requests to a backend
// server and the answer back.
//
// # Usage
//
//	handler := caller.NewHandler(caller.Options{Table: control.Table, Servers: servers, ...})
//	server := caller.NewServer(handler, processSettings.Callers, &registry.Events)
//	listener, err := caller.Listen("10.0.0.4:8080", processSettings.Callers, &registry.Events)
//	server.Serve(listener)
package caller
