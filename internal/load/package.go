// Package load generates an open-loop load and measures it.
//
// Arrival times are computed in advance from a seed, and each latency is measured from the scheduled time of the call. A stall
// therefore adds to the latency of every call scheduled during it, as it does for callers. Variants, such as direct requests to
// backend servers and requests through instances, alternate within one run, so that drift in the speed of the machine does not
// favour one of them.
//
// # Usage
//
//	mix, err := load.ReadMix("mix.json")
//	result := load.Run(ctx, load.Experiment{Mix: mix, Rate: 2000, Seed: 1, Slice: time.Second, Rounds: 10, Variants: variants})
//	result.WriteText(os.Stdout)
package load
