// Package backendserver speaks HTTP to backend servers, over connections that it owns.
//
// Each connection carries one request at a time and is never shared. The standard library's pooled transport is not
// used, because it sends a request again by itself when a reused connection dies under it and it judges the request
// replayable, which any request with an Idempotency-Key header is: a payment would run twice. A connection here writes
// a request once or reports an error, and the error says whether any byte of the request left this process.
//
// # Usage
//
//	servers := backendserver.NewServers(clock)
//	servers.Set(name, backendserver.Options{Address: "10.0.0.7:8080", ConnectionsMost: 14, ...})
//	exchange, err := servers.Send(ctx, name, request, reuse)
//	if backendserver.IsErrNotWritten(err) {
//		// It truly did not run.
//	}
//	defer exchange.Close()
package backendserver
