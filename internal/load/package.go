// Package load sends an open-loop load and measures it.
//
// Arrival times are fixed ahead, from a seed, and every latency counts from the time at which a call was to be sent: a
// stall counts against all calls that would have come while it lasted, as it does for callers. Variants, such as
// straight to the backend servers and through instances, take turns within one run, so that a machine whose speed
// drifts does not favour one of them.
//
// # Usage
//
//	mix, err := load.ReadMix("mix.json")
//	result := load.Run(ctx, load.Experiment{Mix: mix, Rate: 2000, Seed: 1, Slice: time.Second, Rounds: 10, Variants: variants})
//	result.WriteText(os.Stdout)
package load
