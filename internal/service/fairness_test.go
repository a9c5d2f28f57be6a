package service

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// classLoad is the load of one class in a run, and what became of its requests.
type classLoad struct {
	class settings.ClassName
	// perSecond is the number of requests a second; the targets run 100 a second.
	perSecond float64
	priority  settings.Priority
	owed      float64
	sent      int
	onTime    int
}

// runningRequest is a request that waits or runs.
type runningRequest struct {
	load         *classLoad
	softDeadline clock.Moment
	pending      *PendingPermit
	permit       Permit
	ends         clock.Moment
}

// playClasses sends the requests of all classes for the given time to ten targets, each of which runs one request of 100 ms at a time.
func playClasses(length clock.Milliseconds, loads []*classLoad) {
	manual := clock.NewManual()
	manual.Advance(clock.Minute)
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	var configs []TargetConfig
	for number := range 10 {
		configs = append(configs, TargetConfig{Name: settings.TargetName(fmt.Sprintf("target-%d", number)), Slots: 1, Usable: true, Local: true})
	}
	scheduler.SetTargets(configs)
	var running []*runningRequest
	for elapsed := clock.Milliseconds(0); elapsed < length; elapsed += clock.Millisecond {
		now := manual.Now()
		for _, config := range configs {
			scheduler.Observe(config.Name, LoadReading{At: now, Slots: 1, Slowdown: 1, ColdKnown: true, Source: FromPeer})
		}
		for _, load := range loads {
			for load.owed += load.perSecond / float64(clock.Second); load.owed >= 1; load.owed-- {
				load.sent++
				request := &runningRequest{load: load, softDeadline: now.Add(400)}
				var err error
				request.permit, request.pending, err = scheduler.AcquireOrEnqueue(PermitRequest{
					Class: load.class, Priority: load.priority, TeamPriority: load.priority, SoftDeadline: request.softDeadline, Deadline: now.Add(clock.Second),
				})
				if err == nil {
					request.ends = now.Add(100)
					running = append(running, request)
				}
			}
		}
		manual.Advance(clock.Millisecond)
		running = advanceRequests(manual.Now(), running)
		scheduler.Sweep()
	}
}

// advanceRequests ends the requests whose time has come, starts those that have got a permit, and returns those that are left.
func advanceRequests(now clock.Moment, running []*runningRequest) []*runningRequest {
	var left []*runningRequest
	for _, request := range running {
		if request.pending != nil {
			permit, ended, err := request.pending.Poll()
			if ended && err != nil {
				continue
			}
			if ended {
				request.permit, request.pending, request.ends = permit, nil, now.Add(100)
			}
		}
		if request.pending == nil && now >= request.ends {
			request.permit.Release(Succeeded)
			if now <= request.softDeadline {
				request.load.onTime++
			}
			continue
		}
		left = append(left, request)
	}
	return left
}

// Guards against a class of which there are many requests and that takes the room of another one of the same priority.
func TestClassesOfOnePriorityShareFairly(t *testing.T) {
	cases := []struct {
		name  string
		loads []*classLoad
		// least is the least part of the requests of each class that are on time.
		least []float64
	}{
		{"few beside many", []*classLoad{{class: "many", perSecond: 400}, {class: "few", perSecond: 25}}, []float64{0.1, 0.9}},
		{"three classes", []*classLoad{
			{class: "many", perSecond: 300}, {class: "some", perSecond: 28}, {class: "few", perSecond: 10},
		}, []float64{0.1, 0.85, 0.9}},
		{"enough for all", []*classLoad{{class: "many", perSecond: 60}, {class: "few", perSecond: 20}}, []float64{0.99, 0.99}},
		{"one class", []*classLoad{{class: "many", perSecond: 300}}, []float64{0.2}},
		{"a more urgent class goes first", []*classLoad{
			{class: "urgent", perSecond: 80}, {class: "few", perSecond: 25, priority: 1},
		}, []float64{0.95, 0}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			playClasses(10*clock.Second, testCase.loads)
			for index, load := range testCase.loads {
				t.Logf("%s: %d of %d on time", load.class, load.onTime, load.sent)
				require.GreaterOrEqual(t, float64(load.onTime)/float64(load.sent), testCase.least[index], "class %s", load.class)
			}
		})
	}
}
