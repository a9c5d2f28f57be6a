// Package emulate simulates a site in virtual time, in one process, with a seeded random source. The schedulers are the real
// ones. Scheduling decisions can be compared in seconds, under loads and failures for which a test of real processes would
// take hours.
//
// Backend servers have slots, a queue, a knee above which they slow down, and noise that makes them several times slower for
// fixed intervals. Callers arrive at random, independently of the results of earlier requests. They have different timeouts and
// retry after a rejection. An instance knows the requests that it sent itself directly, and all others by load readings, which
// the owner of a target takes and sends to the other instances.
//
// Not modelled are hedged requests and other further attempts within one request, connections, lost responses, and instances
// that join and leave. They are tested with real processes.
//
// # Usage
//
//	experiment, err := emulate.LoadExperiment("examples/overload.experiment.json")
//	result := emulate.Run(experiment)
//	err = result.WriteText(os.Stdout)
package emulate
