// Package service decides which backend server runs a request and when.
//
// A Dispatcher represents one service at one instance. It holds the targets of the service, counts the permits in use on
// each, and assigns every request to the target with the smallest share of its permits in use. If no permit is free, the
// request waits in the instance and is assigned to a target only when a permit becomes free. The queue of a target that has
// just slowed down therefore stays short, and the request goes to whichever target is free first. A Scheduler does the same
// by predicted completion time.
//
// The package does no I/O. The clock and the source of random numbers are passed in, so that every decision is repeatable.
//
// # Usage
//
//	dispatcher := service.NewDispatcher(service.Options{Clock: clock.New(), Rand: rand.New(...), ...})
//	dispatcher.Add("browsing-1", "10.0.0.7:8080", "sofia-1")
//	dispatcher.SetLimit("browsing-1", service.WarmTargetLimit(service.PolicyLeastUtilized, 6, 3, 14), 0)
//	permit, err := dispatcher.Acquire(ctx, service.PermitRequest{Priority: 0, Deadline: deadline})
//	if err != nil {
//		// Refused: nothing was sent anywhere.
//	}
//	defer permit.Release(service.Succeeded)
package service
