package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// policy is a way to apply a limit to a whole fleet.
type policy int

const (
	// sharedBuckets deducts what other instances report from each instance's bucket.
	sharedBuckets policy = iota
	// equalShares gives each serving instance the same share of a limit.
	equalShares
)

// mutant is a faulty form of the policy, which the model must detect.
type mutant int

const (
	noMutant mutant = iota
	// fullAtStart starts with a full bucket.
	fullAtStart
	// fullShareWhenIsolated uses whole limits while no reports of other instances come.
	fullShareWhenIsolated
	// ignoresReports ignores the reports of other instances.
	ignoresReports
)

// Intervals, delays and sizes of the simulated fleet.
const (
	modelStep           = 10 * clock.Millisecond
	modelReportInterval = 100 * clock.Millisecond
	// modelStartFraction is the fraction of the fleet that an instance counts with just after its start.
	modelStartFraction = 0.45
	// modelDiscovery is how long after its start an instance receives no reports.
	modelDiscovery  = 300 * clock.Millisecond
	modelVisibility = 200 * clock.Millisecond
	modelDelay      = 20 * clock.Millisecond
	modelDuration   = 20 * clock.Second
	modelInstances  = 6
)

var modelBounds = Bounds{Window: 5 * clock.Second, Over: 0.25, Slack: 20}

// modelInstance is one serving instance.
type modelInstance struct {
	limiter *Limiter
	sender  Sender
	// running is whether it runs, part the part of the partitioned fleet that it is in, restartAt when it restarts.
	running   bool
	part      int
	restartAt clock.Moment
	// lastReceived is when the last datagram of each other instance came.
	lastReceived [modelInstances]clock.Moment
	started      clock.Moment
}

// modelTeam is a team that sends requests, with what the check knows of it.
type modelTeam struct {
	team.Team

	// requestRate is the number of requests a second that the team sends to all instances together; singleInstance is whether it
	// sends all of them to one instance.
	requestRate    float64
	singleInstance bool
	due            float64
	admitted       []clock.Moment
	requested      []clock.Moment
	worst          float64
	// fair is the level of a single bucket for the whole fleet. A request that it would admit and the fleet refuses is lost.
	fair   float64
	fairAt clock.Moment
	lost   int
}

// model simulates some instances and teams in virtual time.
type model struct {
	clock     *clock.Manual
	random    *rand.Rand
	policy    policy
	mutant    mutant
	instances [modelInstances]*modelInstance
	teams     []*modelTeam
	inTransit []modelDatagram
	loss      float64
	starts    Sender
}

type modelDatagram struct {
	to     int
	from   int
	at     clock.Moment
	report Report
}

func newModel(seed uint64, policy policy, mutant mutant, undisturbed bool) *model {
	model := &model{clock: clock.NewManual(), random: rand.New(rand.NewPCG(seed, 3)), policy: policy, mutant: mutant}
	model.clock.Advance(clock.Minute)
	for number := range 4 {
		rate := []float64{1, 3, 12, 93}[number] * (0.8 + 0.4*model.random.Float64())
		requester := &modelTeam{Team: team.Team{Name: team.Name(fmt.Sprint("team-", number)), Rate: rate, Burst: rate}}
		requester.requestRate = requester.Rate / 1.6
		if !undisturbed && model.random.IntN(2) == 0 {
			requester.requestRate *= 2 + 9*model.random.Float64()
			requester.singleInstance = model.random.IntN(3) == 0
		}
		model.teams = append(model.teams, requester)
	}
	for number := range model.instances {
		model.start(number)
	}
	for range 500 {
		model.step(false)
	}
	return model
}

func (model *model) limits() []team.Team {
	limits := make([]team.Team, 0, len(model.teams))
	for _, requester := range model.teams {
		limits = append(limits, requester.Team)
	}
	return limits
}

func (model *model) start(number int) {
	model.starts++
	limiter := NewLimiter(Options{Clock: &model.clock.Clock, Rand: rand.New(rand.NewPCG(uint64(model.starts), 1))})
	limiter.SetBounds(modelBounds)
	limiter.SetFleetFraction(modelStartFraction)
	if model.mutant == fullAtStart {
		limiter.SetFleetFraction(1)
	}
	limiter.SetTeams(model.limits())
	if model.mutant == fullAtStart {
		for _, bucket := range limiter.buckets {
			bucket.level = bucket.burst
		}
	}
	part := 0
	if before := model.instances[number]; before != nil {
		part = before.part
	}
	model.instances[number] = &modelInstance{limiter: limiter, sender: model.starts, running: true, part: part, started: model.clock.Now()}
}

// setShare sets the share of each limit that an instance may use.
func (model *model) setShare(number int) {
	limiter := model.instances[number].limiter
	if model.policy == equalShares {
		limiter.share = (1 + partitionedOverShare*modelBounds.Over) / modelInstances
		return
	}
	limiter.SetFleetFraction(model.share(number))
}

// share returns the fraction of the fleet that an instance exchanges reports with.
func (model *model) share(number int) float64 {
	seen := 1
	for other := range model.instances {
		if other != number && model.clock.Now().Since(model.instances[number].lastReceived[other]) < modelVisibility && model.instances[number].lastReceived[other] > 0 {
			seen++
		}
	}
	switch {
	case model.mutant == fullShareWhenIsolated:
		return 1
	case model.mutant == fullAtStart && model.clock.Now().Since(model.instances[number].started) < clock.Second:
		return 1
	case model.clock.Now().Since(model.instances[number].started) < clock.Second:
		return max(float64(seen)/modelInstances, modelStartFraction)
	default:
		return float64(seen) / modelInstances
	}
}

// step advances the time by one step; teams send requests only if withRequests is set.
func (model *model) step(withRequests bool) {
	model.clock.Advance(modelStep)
	now := model.clock.Now()
	model.deliver(now)
	for number, instance := range model.instances {
		if !instance.running && now >= instance.restartAt {
			model.start(number)
		}
	}
	if int(now/clock.Moment(modelStep))%int(modelReportInterval/modelStep) == 0 {
		for number, instance := range model.instances {
			if instance.running {
				model.setShare(number)
				model.report(now, number)
			}
		}
	}
	if withRequests {
		for _, requester := range model.teams {
			model.sendRequests(now, requester)
		}
	}
}

func (model *model) report(now clock.Moment, number int) {
	reports := model.instances[number].limiter.Reports(model.instances[number].sender)
	if len(reports) == 0 {
		// A report without counts only shows that the instance is alive.
		reports = []Report{{}}
	}
	for other := range model.instances {
		for _, report := range reports {
			if other != number && model.random.Float64() >= model.loss {
				at := now.Add(modelDelay * clock.Milliseconds(model.random.Float64()))
				model.inTransit = append(model.inTransit, modelDatagram{to: other, from: number, at: at, report: report})
			}
		}
	}
}

func (model *model) deliver(now clock.Moment) {
	left := model.inTransit[:0]
	for _, datagram := range model.inTransit {
		if datagram.at > now {
			left = append(left, datagram)
			continue
		}
		from, to := model.instances[datagram.from], model.instances[datagram.to]
		if !to.running || from.part != to.part || now.Since(to.started) < modelDiscovery || now.Since(from.started) < modelDiscovery {
			continue
		}
		to.lastReceived[datagram.from] = now
		if datagram.report.Sequence > 0 && model.policy == sharedBuckets && model.mutant != ignoresReports {
			to.limiter.Receive(datagram.report)
		}
	}
	model.inTransit = left
}

func (model *model) sendRequests(now clock.Moment, requester *modelTeam) {
	requester.due += requester.requestRate * float64(modelStep/clock.Second) * 2 * model.random.Float64()
	for ; requester.due >= 1; requester.due-- {
		chosen := model.random.IntN(modelInstances)
		if requester.singleInstance {
			chosen = 1
		}
		instance := model.instances[chosen]
		if !instance.running {
			continue
		}
		requester.fair = min(requester.fair+requester.Rate*float64(now.Since(requester.fairAt)/clock.Second), max(requester.Burst, 1))
		requester.fairAt = now
		within := requester.fair >= 1
		if within {
			requester.fair--
		}
		requester.requested = append(requester.requested, now)
		_, admitted := instance.limiter.Admit(requester.Name)
		switch {
		case admitted && model.random.IntN(20) == 0:
			instance.limiter.Return(requester.Name)
		case admitted:
			requester.admitted = append(requester.admitted, now)
			model.check(now, requester)
		case within:
			requester.lost++
		}
	}
}

// check records how much of what the limit allows was admitted in the window that ends now.
func (model *model) check(now clock.Moment, requester *modelTeam) {
	first := len(requester.admitted)
	for first > 0 && now.Since(requester.admitted[first-1]) < modelBounds.Window {
		first--
	}
	limit := (requester.Rate*float64(modelBounds.Window/clock.Second)+requester.Burst)*(1+modelBounds.Over) + modelBounds.Slack
	requester.worst = max(requester.worst, float64(len(requester.admitted)-first)/limit)
}

// disturb starts a random fault or change.
func (model *model) disturb(now clock.Moment) {
	switch model.random.IntN(6) {
	case 0:
		instance := model.instances[model.random.IntN(modelInstances)]
		instance.running, instance.restartAt = false, now.Add(clock.Second)
	case 1:
		for _, instance := range model.instances {
			instance.running, instance.restartAt = false, now.Add(1100*clock.Millisecond)
		}
	case 2:
		for number, instance := range model.instances {
			instance.part = number % (2 + model.random.IntN(2))
		}
	case 3:
		for _, instance := range model.instances {
			instance.part = 0
		}
	case 4:
		model.loss = 0.3 * model.random.Float64()
	default:
		for _, requester := range model.teams {
			requester.requestRate = requester.Rate / 1.6 * (0.5 + 10*model.random.Float64()*model.random.Float64())
		}
	}
}

// run runs a random schedule. It returns the highest use of a limit as a share of what is allowed, and the share of requests that
// were refused below the limit.
func (model *model) run(undisturbed bool) (float64, float64) {
	end := model.clock.Now().Add(modelDuration)
	next := model.clock.Now().Add(2 * clock.Second)
	for model.clock.Now() < end {
		model.step(true)
		if now := model.clock.Now(); !undisturbed && now >= next {
			model.disturb(now)
			next = now.Add(clock.Second + 3*clock.Second*clock.Milliseconds(model.random.Float64()))
		}
	}
	worst, lost, requested := 0.0, 0, 0
	for _, requester := range model.teams {
		worst = max(worst, requester.worst)
		lost += requester.lost
		requested += len(requester.requested)
	}
	return worst, float64(lost) / float64(max(requested, 1))
}

var schedules = flag.Int("schedules", 200, "how many schedules of failures to run")

// Guards against a limit that is exceeded by more than allowed while instances are killed, cut off from each other and restarted
// together.
func TestLimitHoldsUnderFailure(t *testing.T) {
	for seed := range uint64(*schedules) {
		worst, _ := newModel(seed, sharedBuckets, noMutant, false).run(false)
		require.LessOrEqual(t, worst, 1.0, "seed %d", seed)
	}
}

// Guards against earlier forms of the policy that exceeded a limit: all instances were restarted, or the fleet was partitioned,
// while a team sent many times its limit.
func TestLimitHoldsInCases(t *testing.T) {
	for _, seed := range []uint64{976, 1354, 1637, 2200, 3567, 10757} {
		worst, _ := newModel(seed, sharedBuckets, noMutant, false).run(false)
		require.LessOrEqual(t, worst, 1.0, "seed %d", seed)
	}
}

// Guards against refused requests of a team that stays below its limit.
func TestNothingIsRefusedBelowTheLimit(t *testing.T) {
	for seed := range uint64(10) {
		worst, lost := newModel(seed, sharedBuckets, noMutant, true).run(true)
		require.LessOrEqual(t, worst, 1.0, "seed %d", seed)
		require.Less(t, lost, 0.001, "seed %d", seed)
	}
}

// Guards against a model that does not detect a faulty policy.
func TestModelFindsMutants(t *testing.T) {
	cases := []struct {
		name   string
		mutant mutant
	}{
		{"a full bucket at each start", fullAtStart},
		{"whole limits while no reports come", fullShareWhenIsolated},
		{"reports ignored", ignoresReports},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			for seed := range uint64(200) {
				if worst, _ := newModel(seed, sharedBuckets, testCase.mutant, false).run(false); worst > 1 {
					t.Logf("detected by seed %d", seed)
					return
				}
			}
			t.Error("no seed detects the mutant")
		})
	}
}

// TestPolicies compares the ways to apply a limit; run it with -v for the table.
func TestPolicies(t *testing.T) {
	cases := []struct {
		name   string
		policy policy
	}{
		{"shared buckets", sharedBuckets},
		{"equal shares", equalShares},
	}
	for _, testCase := range cases {
		for _, undisturbed := range []bool{true, false} {
			worst, lost := 0.0, 0.0
			const seeds = 30
			for seed := range uint64(seeds) {
				exceeded, refused := newModel(seed, testCase.policy, noMutant, undisturbed).run(undisturbed)
				worst = max(worst, exceeded)
				lost += refused / seeds
			}
			t.Logf("%-16s undisturbed %-5v worst use %.2f of what is allowed, refused below the limit %.4f", testCase.name, undisturbed, worst, lost)
		}
	}
}
