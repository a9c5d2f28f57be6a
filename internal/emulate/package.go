// Package emulate plays a site in virtual time, in one process and from a seed, against the very schedulers that place
// requests. Decisions can so be compared in seconds, under loads and troubles that a test of real processes would take hours for.
//
// Backend servers have slots, a queue, a knee above which they slow down, and noise that makes them several times slower for a spell.
// Callers arrive at random whatever became of those before, differ in patience, and come back after a refusal. Instances see
// their own requests at first hand and everything else by readings, which their owners take and tell the others.
//
// What is not modelled: second copies and other attempts within one request, connections, lost answers, and instances that come
// and go. They are played with real processes.
//
// # Usage
//
//	experiment, err := emulate.LoadExperiment("examples/overload.experiment.json")
//	result := emulate.Run(experiment)
//	err = result.WriteText(os.Stdout)
package emulate
