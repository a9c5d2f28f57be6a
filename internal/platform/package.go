// Package platform reads what the users' platform offers: the configuration service, and the list of live and leaving
// instances. Both can only be read and watched.
//
// A watch is a read that names the index it has already seen and is answered when there is a higher one, or when its
// wait is over. A failure is an *Error that carries the step; nothing that was read before is lost by it.
//
// # Usage
//
//	client := platform.NewClient(processSettings.Platform)
//	keys, err := client.WatchKeys(ctx, lastIndex)
//	value, err := client.Value(ctx, settings.SiteKey)
//	list, err := client.WatchInstances(ctx, lastIndex)
package platform
