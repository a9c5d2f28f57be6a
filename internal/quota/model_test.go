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

// policy is a way to hold a fleet to a limit.
type policy int

const (
	// countTogether takes what others report out of the own bucket.
	countTogether policy = iota
	// equalShares gives each instance that serves the same part of a limit.
	equalShares
)

// Mutants of the policy, which the model must find.
type mutant int

const (
	noMutant mutant = iota
	// fullAtStart begins with a full bucket.
	fullAtStart
	// fullShareWhenAlone uses whole limits while nobody is heard.
	fullShareWhenAlone
	// hearsNothing passes over what others report.
	hearsNothing
)

// modelTimes are those of the fleet that the model stands for.
const (
	modelStep    = 10 * clock.Millisecond
	modelReports = 100 * clock.Millisecond
	// modelUnsettled is the part of the fleet with which an instance counts that has just started.
	modelUnsettled = 0.45
	// modelMeets is how long an instance that has started hears nobody.
	modelMeets     = 300 * clock.Millisecond
	modelNotices   = 200 * clock.Millisecond
	modelDelay     = 20 * clock.Millisecond
	modelLength    = 20 * clock.Second
	modelInstances = 6
)

var modelBounds = Bounds{Window: 5 * clock.Second, Over: 0.25, Slack: 20}

// modelInstance is one instance that serves.
type modelInstance struct {
	ledger *Limiter
	sender Sender
	// up says that it runs, part is the part of the fleet in which it is.
	up   bool
	part int
	back clock.Moment
	// heardOf is when each of the others was last heard.
	heardOf [modelInstances]clock.Moment
	started clock.Moment
}

// modelTeam is a team that asks, and what the oracle knows of it.
type modelTeam struct {
	team.Team

	// asks is how many requests a second it sends, over all instances; one says that all come to one instance.
	asks  float64
	one   bool
	due   float64
	letIn []clock.Moment
	asked []clock.Moment
	worst float64
	// fair is a single bucket for the whole fleet: what it would let in and the fleet refuses is lost.
	fair   float64
	fairAt clock.Moment
	lost   int
}

// model plays some instances and teams in virtual time.
type model struct {
	clock     *clock.Manual
	random    *rand.Rand
	policy    policy
	mutant    mutant
	instances [modelInstances]*modelInstance
	teams     []*modelTeam
	flying    []modelDatagram
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
		named := &modelTeam{Team: team.Team{Name: team.Name(fmt.Sprint("team-", number)), Rate: rate, Burst: rate}}
		named.asks = named.Rate / 1.6
		if !undisturbed && model.random.IntN(2) == 0 {
			named.asks *= 2 + 9*model.random.Float64()
			named.one = model.random.IntN(3) == 0
		}
		model.teams = append(model.teams, named)
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
	for _, named := range model.teams {
		limits = append(limits, named.Team)
	}
	return limits
}

func (model *model) start(number int) {
	model.starts++
	ledger := NewLimiter(Options{Clock: &model.clock.Clock, Rand: rand.New(rand.NewPCG(uint64(model.starts), 1))})
	ledger.SetBounds(modelBounds)
	ledger.SetFleetFraction(modelUnsettled)
	if model.mutant == fullAtStart {
		ledger.SetFleetFraction(1)
	}
	ledger.SetTeams(model.limits())
	if model.mutant == fullAtStart {
		for _, bucket := range ledger.buckets {
			bucket.level = bucket.burst
		}
	}
	part := 0
	if before := model.instances[number]; before != nil {
		part = before.part
	}
	model.instances[number] = &modelInstance{ledger: ledger, sender: model.starts, up: true, part: part, started: model.clock.Now()}
}

// setShare tells an instance which part of each limit is its own.
func (model *model) setShare(number int) {
	ledger := model.instances[number].ledger
	if model.policy == equalShares {
		ledger.share = (1 + overApart*modelBounds.Over) / modelInstances
		return
	}
	ledger.SetFleetFraction(model.share(number))
}

// share is the part of the fleet that an instance counts together with.
func (model *model) share(number int) float64 {
	seen := 1
	for other := range model.instances {
		if other != number && model.clock.Now().Since(model.instances[number].heardOf[other]) < modelNotices && model.instances[number].heardOf[other] > 0 {
			seen++
		}
	}
	switch {
	case model.mutant == fullShareWhenAlone:
		return 1
	case model.mutant == fullAtStart && model.clock.Now().Since(model.instances[number].started) < clock.Second:
		return 1
	case model.clock.Now().Since(model.instances[number].started) < clock.Second:
		return max(float64(seen)/modelInstances, modelUnsettled)
	default:
		return float64(seen) / modelInstances
	}
}

// step plays a moment; requests come only if asked for.
func (model *model) step(asks bool) {
	model.clock.Advance(modelStep)
	now := model.clock.Now()
	model.deliver(now)
	for number, instance := range model.instances {
		if !instance.up && now >= instance.back {
			model.start(number)
		}
	}
	if int(now/clock.Moment(modelStep))%int(modelReports/modelStep) == 0 {
		for number, instance := range model.instances {
			if instance.up {
				model.setShare(number)
				model.report(now, number)
			}
		}
	}
	if asks {
		for _, named := range model.teams {
			model.ask(now, named)
		}
	}
}

func (model *model) report(now clock.Moment, number int) {
	reports := model.instances[number].ledger.Reports(model.instances[number].sender)
	if len(reports) == 0 {
		// The word that an instance lives.
		reports = []Report{{}}
	}
	for other := range model.instances {
		for _, report := range reports {
			if other != number && model.random.Float64() >= model.loss {
				at := now.Add(modelDelay * clock.Milliseconds(model.random.Float64()))
				model.flying = append(model.flying, modelDatagram{to: other, from: number, at: at, report: report})
			}
		}
	}
}

func (model *model) deliver(now clock.Moment) {
	left := model.flying[:0]
	for _, datagram := range model.flying {
		if datagram.at > now {
			left = append(left, datagram)
			continue
		}
		from, to := model.instances[datagram.from], model.instances[datagram.to]
		if !to.up || from.part != to.part || now.Since(to.started) < modelMeets || now.Since(from.started) < modelMeets {
			continue
		}
		to.heardOf[datagram.from] = now
		if datagram.report.Sequence > 0 && model.policy == countTogether && model.mutant != hearsNothing {
			to.ledger.Receive(datagram.report)
		}
	}
	model.flying = left
}

func (model *model) ask(now clock.Moment, named *modelTeam) {
	named.due += named.asks * float64(modelStep/clock.Second) * 2 * model.random.Float64()
	for ; named.due >= 1; named.due-- {
		chosen := model.random.IntN(modelInstances)
		if named.one {
			chosen = 1
		}
		instance := model.instances[chosen]
		if !instance.up {
			continue
		}
		named.fair = min(named.fair+named.Rate*float64(now.Since(named.fairAt)/clock.Second), max(named.Burst, 1))
		named.fairAt = now
		within := named.fair >= 1
		if within {
			named.fair--
		}
		named.asked = append(named.asked, now)
		_, taken := instance.ledger.Admit(named.Name)
		switch {
		case taken && model.random.IntN(20) == 0:
			instance.ledger.Return(named.Name)
		case taken:
			named.letIn = append(named.letIn, now)
			model.check(now, named)
		case within:
			named.lost++
		}
	}
}

// check is the rule: what ran in the window that ends now, by the limit.
func (model *model) check(now clock.Moment, named *modelTeam) {
	first := len(named.letIn)
	for first > 0 && now.Since(named.letIn[first-1]) < modelBounds.Window {
		first--
	}
	limit := (named.Rate*float64(modelBounds.Window/clock.Second)+named.Burst)*(1+modelBounds.Over) + modelBounds.Slack
	named.worst = max(named.worst, float64(len(named.letIn)-first)/limit)
}

// disturb begins a change that the fleet must bear.
func (model *model) disturb(now clock.Moment) {
	switch model.random.IntN(6) {
	case 0:
		instance := model.instances[model.random.IntN(modelInstances)]
		instance.up, instance.back = false, now.Add(clock.Second)
	case 1:
		for _, instance := range model.instances {
			instance.up, instance.back = false, now.Add(1100*clock.Millisecond)
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
		for _, named := range model.teams {
			named.asks = named.Rate / 1.6 * (0.5 + 10*model.random.Float64()*model.random.Float64())
		}
	}
}

// play plays a schedule and returns the worst use of what is allowed, and the part of what was asked that was refused below the limit.
func (model *model) play(undisturbed bool) (float64, float64) {
	end := model.clock.Now().Add(modelLength)
	next := model.clock.Now().Add(2 * clock.Second)
	for model.clock.Now() < end {
		model.step(true)
		if now := model.clock.Now(); !undisturbed && now >= next {
			model.disturb(now)
			next = now.Add(clock.Second + 3*clock.Second*clock.Milliseconds(model.random.Float64()))
		}
	}
	worst, lost, asked := 0.0, 0, 0
	for _, named := range model.teams {
		worst = max(worst, named.worst)
		lost += named.lost
		asked += len(named.asked)
	}
	return worst, float64(lost) / float64(max(asked, 1))
}

var schedules = flag.Int("schedules", 200, "how many schedules of failures to play")

// Guards against a limit that is exceeded by more than agreed while instances are killed, cut off from each other and started together.
func TestLimitHoldsUnderFailure(t *testing.T) {
	for seed := range uint64(*schedules) {
		worst, _ := newModel(seed, countTogether, noMutant, false).play(false)
		require.LessOrEqual(t, worst, 1.0, "seed %d", seed)
	}
}

// Guards against forms of the policy that once exceeded a limit: all instances restarted, or cut apart, while a team asks many times its limit.
func TestLimitHoldsInCases(t *testing.T) {
	for _, seed := range []uint64{976, 1354, 1637, 2200, 3567, 10757} {
		worst, _ := newModel(seed, countTogether, noMutant, false).play(false)
		require.LessOrEqual(t, worst, 1.0, "seed %d", seed)
	}
}

// Guards against requests that are refused although their team stays below its limit.
func TestNothingIsRefusedBelowTheLimit(t *testing.T) {
	for seed := range uint64(10) {
		worst, lost := newModel(seed, countTogether, noMutant, true).play(true)
		require.LessOrEqual(t, worst, 1.0, "seed %d", seed)
		require.Less(t, lost, 0.001, "seed %d", seed)
	}
}

// Guards against a model that would not notice a broken policy.
func TestModelFindsMutants(t *testing.T) {
	cases := []struct {
		name   string
		mutant mutant
	}{
		{"a full bucket at each start", fullAtStart},
		{"whole limits while nobody is heard", fullShareWhenAlone},
		{"reports passed over", hearsNothing},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			for seed := range uint64(200) {
				if worst, _ := newModel(seed, countTogether, testCase.mutant, false).play(false); worst > 1 {
					t.Logf("found by seed %d", seed)
					return
				}
			}
			t.Error("no seed finds it")
		})
	}
}

// TestPolicies compares the ways to hold a limit; run it with -v for the table.
func TestPolicies(t *testing.T) {
	cases := []struct {
		name   string
		policy policy
	}{
		{"counts together", countTogether},
		{"equal shares", equalShares},
	}
	for _, testCase := range cases {
		for _, undisturbed := range []bool{true, false} {
			worst, lost := 0.0, 0.0
			const seeds = 30
			for seed := range uint64(seeds) {
				exceeded, refused := newModel(seed, testCase.policy, noMutant, undisturbed).play(undisturbed)
				worst = max(worst, exceeded)
				lost += refused / seeds
			}
			t.Logf("%-16s undisturbed %-5v worst use %.2f of what is allowed, refused below the limit %.4f", testCase.name, undisturbed, worst, lost)
		}
	}
}
