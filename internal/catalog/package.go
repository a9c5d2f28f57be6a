// Package catalog holds what a platform publishes, in jaywheel's own terms: the configuration in force, the backend
// servers, and the data centres that are out. A Reader keeps it current from a source that can only be read and watched,
// or from another instance while the source does not answer.
//
// A View is never changed once it is handed on. Its configuration never goes back to an older version within one run of
// a Reader.
//
// # Usage
//
//	reader := catalog.NewReader(catalog.Options{Source: source, Publish: fleet.ViewRead, ...})
//	go reader.Serve(ctx)
//	reader.SetRole(catalog.RoleLead)
package catalog
