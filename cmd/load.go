package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/backendservertest"
	"github.com/jaywheel/jaywheel/internal/load"
	"github.com/jaywheel/jaywheel/internal/sitetest"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const loadLong = `Sends calls at scheduled times and reports latencies measured from these times, so that a stall counts for all calls
scheduled during it. With --site it runs against a user's example site with fake backend servers in this process; with --ask
against running instances. Variants take turns in time slices: "through" sends calls through instances, "direct" sends them
directly to the backend servers (with --site only). The mix is a JSON file of calls with weights; by default it is one call of
each class.`

type loadCommand struct {
	Site        string             `long:"site" choice:"rodopa" choice:"malabon" description:"Example site to run with fake backend servers"`
	Ask         []string           `long:"ask" value-name:"IP:PORT" description:"Caller address of a running instance; may be repeated"`
	Mix         string             `long:"mix" value-name:"FILE" description:"Mix of calls; needed with --ask"`
	Rate        float64            `long:"rate" default:"500" value-name:"CALLS" description:"Calls per second"`
	Slice       clock.Milliseconds `long:"slice" default:"2s" value-name:"TIME" description:"How long a variant sends before the next one does, with its unit"`
	Rounds      int                `long:"rounds" default:"5" description:"How often every variant sends"`
	Variants    string             `long:"variants" default:"direct,through" description:"Variants that take turns, separated by commas"`
	Instances   int                `long:"instances" default:"5" description:"Entry instances of the example site"`
	ServiceTime clock.Milliseconds `long:"service-time" default:"10ms" value-name:"TIME" description:"Median service time of fake backend servers, with unit; 0ms for none"`
	Seed        uint64             `long:"seed" default:"1" description:"Seed of arrivals and service times"`
	Out         string             `long:"out" value-name:"DIRECTORY" description:"Also write report.txt, report.json and report.svg there"`
	streams     streams
}

var (
	errDirectNeedsSite = errors.New("direct needs --site: only instances know the addresses of real backend servers")
	errOneSource       = errors.New("give either --site or --ask")
	errMixRequired     = errors.New("--ask needs --mix")
	errUnknownVariant  = errors.New("unknown variant; variants are direct and through")
	errNotPositive     = errors.New("--rate, --slice and --rounds must be greater than 0")
)

// Execute implements flags.Commander.
func (loadCommand *loadCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := loadCommand.check(); err != nil {
		return withExitCode(ExitUsage, err)
	}
	experiment := load.Experiment{
		Rate: loadCommand.Rate, Seed: loadCommand.Seed, Slice: loadCommand.Slice.Duration(), Rounds: loadCommand.Rounds,
	}
	if loadCommand.Mix != "" {
		mix, err := load.ReadMix(loadCommand.Mix)
		if err != nil {
			return withExitCode(ExitInvalid, err)
		}
		experiment.Mix = mix
	}
	var site *sitetest.Site
	if loadCommand.Site != "" {
		started, err := loadCommand.startSite(ctx)
		if err != nil {
			return err
		}
		defer started.Close()
		site = started
		if experiment.Mix.Calls == nil {
			if experiment.Mix, err = load.EvenMix(site.Settings); err != nil {
				return err
			}
		}
	}
	if err := loadCommand.addVariants(&experiment, site); err != nil {
		return withExitCode(ExitUsage, err)
	}
	return loadCommand.report(load.Run(ctx, experiment))
}

func (loadCommand *loadCommand) check() error {
	switch {
	case (loadCommand.Site == "") == (len(loadCommand.Ask) == 0):
		return errOneSource
	case loadCommand.Site == "" && loadCommand.Mix == "":
		return errMixRequired
	case loadCommand.Rate <= 0 || loadCommand.Slice <= 0 || loadCommand.Rounds <= 0:
		return errNotPositive
	default:
		return nil
	}
}

// startSite starts the example site and waits until its backend servers are warmed up.
func (loadCommand *loadCommand) startSite(ctx context.Context) (*sitetest.Site, error) {
	example, err := loadExample(loadCommand.Site)
	if err != nil {
		return nil, err
	}
	site, err := sitetest.Start(sitetest.Options{
		Site: sitetest.WithShortIntervals(example, clock.Second), Instances: loadCommand.Instances,
		Targets: exampleTargets[loadCommand.Site], Seed: loadCommand.Seed, Log: zerolog.Nop(),
		Server: func(settings.ServiceName) backendservertest.Options {
			if loadCommand.ServiceTime == 0 {
				return backendservertest.Options{}
			}
			return backendservertest.Options{ServiceTime: backendservertest.Lognormal(loadCommand.ServiceTime, 0.5)}
		},
	})
	if err != nil {
		return nil, err
	}
	if err := site.WaitWarm(ctx); err != nil {
		site.Close()
		return nil, err
	}
	return site, nil
}

func (loadCommand *loadCommand) addVariants(experiment *load.Experiment, site *sitetest.Site) error {
	seeds := loadCommand.Ask
	if site != nil {
		seeds = seedsOf(site)
	}
	for name := range strings.SplitSeq(loadCommand.Variants, ",") {
		switch {
		case name == "through":
			experiment.Variants = append(experiment.Variants, load.Variant{Name: name, Send: load.ThroughInstances(seeds)})
		case name == "direct" && site == nil:
			return errDirectNeedsSite
		case name == "direct":
			experiment.Variants = append(experiment.Variants, load.Variant{Name: name, Send: load.Direct(addressesOf(site))})
		default:
			return errors.Wrapf(errUnknownVariant, "%q", name)
		}
	}
	return nil
}

func addressesOf(site *sitetest.Site) map[settings.ServiceName][]string {
	addresses := map[settings.ServiceName][]string{}
	for name := range site.Settings.Services {
		for _, server := range site.Servers(name) {
			addresses[name] = append(addresses[name], server.Address())
		}
	}
	return addresses
}

func (loadCommand *loadCommand) report(result load.Result) error {
	if err := result.WriteText(loadCommand.streams.out); err != nil {
		return err
	}
	if loadCommand.Out == "" {
		return nil
	}
	if err := result.WriteFiles(loadCommand.Out); err != nil {
		return err
	}
	fmt.Fprintln(loadCommand.streams.out, "\nreport.txt, report.json and report.svg are in", loadCommand.Out)
	return nil
}
