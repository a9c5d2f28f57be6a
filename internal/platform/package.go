// Package platform is the client of the platform's services: the configuration service, and the list of live and leaving
// instances. It only reads and watches them.
//
// A watch is a read with the index that the client already has. The platform responds when there is a higher index, or when
// the wait is over. Failures are of type *Error, which holds the step; what was read before them stays in use.
//
// # Usage
//
//	client := platform.NewClient(processSettings.Platform)
//	keys, err := client.WatchKeys(ctx, lastIndex)
//	value, err := client.Value(ctx, settings.SiteKey)
//	list, err := client.WatchInstances(ctx, lastIndex)
package platform
