package cmd

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/backendservertest"
	"github.com/jaywheel/jaywheel/internal/load"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/sitetest"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const compareLong = `Compares policies on one service of an example site with real instances and fake backend servers in this process.
Each policy has its own site with the same seeds, and the policies take turns. A policy is given as NAME@K: K of the --instances
serve the service. "leastTaken@1" is a single queue that knows the state of every slot: the best case to compare with. Noisy
neighbours make each backend server ten times slower for 50 to 500 ms, 3% of the time.`

// serviceSigma is the standard deviation of the logarithm of service times.
const serviceSigma = 0.5

// Slowdowns by noisy neighbours: the fraction of time, and the factor by which service times grow.
const (
	noiseShare  = 0.03
	noiseFactor = 10
)

type compareCommand struct {
	Site        string             `long:"site" choice:"rodopa" choice:"malabon" required:"yes" description:"Example site"`
	Service     string             `long:"service" required:"yes" value-name:"NAME" description:"Service of the site"`
	Policies    string             `long:"policies" default:"random@15,twoChoices@15,leastTaken@15,leastTaken@3,leastTaken@1" description:"Policies that take turns"`
	Instances   int                `long:"instances" default:"15" description:"Entry instances of each site"`
	Load        float64            `long:"load" default:"0.8" description:"Load as a share of capacity, noise included"`
	Quiet       bool               `long:"quiet" description:"No noisy neighbours"`
	ServiceTime clock.Milliseconds `long:"service-time" default:"20ms" value-name:"TIME" description:"Median service time, with its unit"`
	Slice       clock.Milliseconds `long:"slice" default:"4s" value-name:"TIME" description:"How long a policy gets load before the next one does, with its unit"`
	Rounds      int                `long:"rounds" default:"5" description:"How often every policy gets load"`
	Seed        uint64             `long:"seed" default:"1" description:"Seed of arrivals, service times and noise"`
	Out         string             `long:"out" value-name:"DIRECTORY" description:"Also write report.txt, report.json and report.svg there"`
	streams     streams
}

var errPolicy = errors.New("a policy is NAME@K, where NAME is a known policy and K at least 1")

// comparedPolicy is a policy with the number of instances that serve the service.
type comparedPolicy struct {
	text    string
	policy  service.Policy
	serving int
}

func parsePolicies(text string) ([]comparedPolicy, error) {
	var policies []comparedPolicy
	for entry := range strings.SplitSeq(text, ",") {
		name, count, _ := strings.Cut(entry, "@")
		serving, err := strconv.Atoi(count)
		if err != nil || serving < 1 || !slices.Contains(service.Policies, service.Policy(name)) {
			return nil, errors.Wrapf(errPolicy, "%q", entry)
		}
		policies = append(policies, comparedPolicy{text: entry, policy: service.Policy(name), serving: serving})
	}
	return policies, nil
}

// Execute implements flags.Commander.
func (compareCommand *compareCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	policies, err := parsePolicies(compareCommand.Policies)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	example, err := loadExample(compareCommand.Site)
	if err != nil {
		return err
	}
	name := settings.ServiceName(compareCommand.Service)
	compared, known := example.Services[name]
	if !known {
		return withExitCode(ExitUsage, errors.Newf("%s has no service %q", compareCommand.Site, name))
	}
	example.Services = map[settings.ServiceName]settings.Service{name: compared}
	experiment, sites, err := compareCommand.prepareExperiment(ctx, example, policies)
	defer closeAll(sites)
	if err != nil {
		return err
	}
	if err := compareCommand.report(load.Run(ctx, experiment)); err != nil {
		return err
	}
	return compareCommand.reportServers(policies, sites)
}

func closeAll(sites []*sitetest.Site) {
	for _, site := range sites {
		site.Close()
	}
}

// prepareExperiment starts a site for each policy and returns the experiment and the sites. The caller must close the
// sites, also after an error.
func (compareCommand *compareCommand) prepareExperiment(
	ctx context.Context, example *settings.Site, policies []comparedPolicy,
) (load.Experiment, []*sitetest.Site, error) {
	name := settings.ServiceName(compareCommand.Service)
	mix, err := load.EvenMix(example)
	if err != nil {
		return load.Experiment{}, nil, err
	}
	experiment := load.Experiment{
		Mix: mix, Rate: compareCommand.rate(example), Seed: compareCommand.Seed,
		Slice: compareCommand.Slice.Duration(), Rounds: compareCommand.Rounds,
	}
	var sites []*sitetest.Site
	for _, policy := range policies {
		site, err := compareCommand.startSite(example, policy)
		if err != nil {
			return experiment, sites, err
		}
		sites = append(sites, site)
		if err := site.WaitWarm(ctx); err != nil {
			return experiment, sites, err
		}
		variant := load.Variant{Name: policy.text, Send: load.ThroughInstances(seedsOf(site))}
		if !compareCommand.Quiet {
			variant.Background = func(ctx context.Context, round int) {
				site.InjectNoise(ctx, name, sitetest.Noise{
					Share: noiseShare, SlowdownFactor: noiseFactor, MinSlowInterval: 50, MaxSlowInterval: 500, Seed: compareCommand.Seed + uint64(round),
				})
			}
		}
		experiment.Variants = append(experiment.Variants, variant)
	}
	return experiment, sites, nil
}

// rate returns the number of calls per second that loads all slots of the service to the requested share of capacity.
func (compareCommand *compareCommand) rate(example *settings.Site) float64 {
	name := settings.ServiceName(compareCommand.Service)
	slots := float64(example.Services[name].SlotsPerTarget * exampleTargets[compareCommand.Site][name])
	mean := float64(compareCommand.ServiceTime) * math.Exp(serviceSigma*serviceSigma/2)
	if !compareCommand.Quiet {
		mean *= 1 + noiseShare*(noiseFactor-1)
	}
	return compareCommand.Load * slots * float64(clock.Second) / mean
}

func (compareCommand *compareCommand) startSite(example *settings.Site, policy comparedPolicy) (*sitetest.Site, error) {
	name := settings.ServiceName(compareCommand.Service)
	siteSettings := sitetest.WithShortIntervals(example, clock.Second)
	siteSettings.Fleet.InstancesPerService = policy.serving
	siteSettings.Fleet.HeartbeatInterval = 300 * clock.Millisecond
	siteSettings.Fleet.SuspectAfter = clock.Second
	if policy.policy.NeedsLoadReports() {
		siteSettings.Measuring.ReportsPerTargetPerSecond = 10
	}
	return sitetest.Start(sitetest.Options{
		Site: siteSettings, Instances: compareCommand.Instances, Seed: compareCommand.Seed, Log: zerolog.Nop(), Policy: policy.policy,
		Targets: map[settings.ServiceName]int{name: exampleTargets[compareCommand.Site][name]},
		Server: func(settings.ServiceName) backendservertest.Options {
			return backendservertest.Options{
				ServiceTime: backendservertest.Lognormal(compareCommand.ServiceTime, serviceSigma), MaxQueued: 1000,
			}
		},
	})
}

func (compareCommand *compareCommand) report(result load.Result) error {
	if err := result.WriteText(compareCommand.streams.out); err != nil {
		return err
	}
	if compareCommand.Out == "" {
		return nil
	}
	return result.WriteFiles(compareCommand.Out)
}

// reportServers prints the counters of the backend servers for each policy.
func (compareCommand *compareCommand) reportServers(policies []comparedPolicy, sites []*sitetest.Site) error {
	out := compareCommand.streams.out
	fmt.Fprintln(out, "\npolicy: runs, load reports read, maximum concurrent requests on one server, maximum connections to one server")
	for index, site := range sites {
		var sum backendservertest.Counts
		for _, server := range site.Servers(settings.ServiceName(compareCommand.Service)) {
			counts := server.Counts()
			sum.Runs += counts.Runs
			sum.Reports += counts.Reports
			sum.MaxInFlight = max(sum.MaxInFlight, counts.MaxInFlight)
			sum.MaxConnections = max(sum.MaxConnections, counts.MaxConnections)
		}
		fmt.Fprintf(out, "%s: %d, %d, %d, %d\n", policies[index].text, sum.Runs, sum.Reports, sum.MaxInFlight, sum.MaxConnections)
	}
	return nil
}
