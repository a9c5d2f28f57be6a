// Package backendserver is the HTTP client for backend servers. It manages its own connection pools.
//
// Each connection carries one request at a time and is never shared. The standard library's pooled transport is not used,
// because it retries a request by itself when a reused connection fails and it considers the request replayable. It
// considers any request with an Idempotency-Key header replayable, so a payment could run twice. A connection of this
// package writes a request at most once. If it fails, the error says whether any byte of the request may have left this
// process.
//
// # Usage
//
//	servers := backendserver.NewServers(clock)
//	servers.Set(name, backendserver.Options{Address: "10.0.0.7:8080", MaxConnections: backendserver.FixedLimit(14), ...})
//	exchange, err := servers.Send(ctx, name, request, freshOnly)
//	if backendserver.IsErrNotWritten(err) {
//		// The request did not run.
//	}
//	defer exchange.Close()
package backendserver
