// Package catalog holds what a platform publishes, in jaywheel's own types: the configuration in force, the backend servers, and the
// data centres that operators have evacuated. A Reader keeps it current from a source that can only be read and watched, or from another
// instance while the source does not answer.
//
// A View is immutable once it is published. Its configuration never returns to an older version during one run of a Reader.
//
// # Usage
//
//	reader := catalog.NewReader(catalog.Options{Source: source, Publish: controller.SetView, ...})
//	go reader.Serve(ctx)
//	reader.SetRole(catalog.RoleLeader)
package catalog
