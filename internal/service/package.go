// Package service decides which backend server runs a request and when.
//
// A Dispatcher stands for one service at one instance. It holds the service's targets, counts the places taken on
// each, and gives every request the target with the smallest share of its places taken. A request that finds no free
// place waits here, in the instance, and is bound to a target only when a place becomes free: the queue in front of a
// target that has just slowed down stays short, and the request goes to whichever target is free first.
//
// The package does no I/O. Time and random numbers are given, so that every decision can be repeated.
//
// # Usage
//
//	dispatcher := service.NewDispatcher(service.Options{Clock: clock.New(), Rand: rand.New(...), ...})
//	dispatcher.Add("browsing-1", "10.0.0.7:8080", "sofia-1")
//	dispatcher.SetLimit("browsing-1", service.WarmShare(service.PolicyLeastTaken, 6, 3, 14), 0)
//	place, err := dispatcher.Take(ctx, service.Demand{Priority: 0, Deadline: deadline})
//	if err != nil {
//		// Refused: nothing was sent anywhere.
//	}
//	defer place.Release(service.Succeeded)
package service
