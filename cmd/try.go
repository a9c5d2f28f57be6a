package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/backendservertest"
	"github.com/jaywheel/jaywheel/internal/caller"
	"github.com/jaywheel/jaywheel/internal/load"
	"github.com/jaywheel/jaywheel/internal/sitetest"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const tryLong = `Starts the example sites of both users in this process, on loopback: a fake platform, fake backend servers that
warm up, and real entry instances in three data centres. Prints the commands to call them, sends some traffic, and prints a
line of statistics per second for each site until it is stopped by Ctrl-C or the time is over.`

type tryCommand struct {
	Instances int                `long:"instances" default:"5" description:"Entry instances of each site"`
	Rate      float64            `long:"rate" default:"50" value-name:"CALLS" description:"Calls per second to each site"`
	For       clock.Milliseconds `long:"for" value-name:"TIME" default:"0s" description:"How long to run, with its unit; 0s runs until stopped"`
	streams   streams
}

// exampleTargets holds the present numbers of backend servers of both users, by service.
var exampleTargets = map[string]map[settings.ServiceName]int{
	"rodopa":  {"browsing": 20, "booking": 10, "archive": 6},
	"malabon": {"statements": 15, "fees": 7, "exports": 6},
}

// Execute implements flags.Commander.
func (tryCommand *tryCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if tryCommand.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, tryCommand.For.Duration())
		defer cancel()
	}
	return tryCommand.run(ctx)
}

func (tryCommand *tryCommand) run(ctx context.Context) error {
	var generators []*load.Generator
	for _, user := range []string{"rodopa", "malabon"} {
		site, err := startExample(user, tryCommand.Instances)
		if err != nil {
			return err
		}
		defer site.Close()
		tryCommand.printUsage(user, site)
		generator, err := tryCommand.startTraffic(ctx, user, site)
		if err != nil {
			return err
		}
		generators = append(generators, generator)
	}
	fmt.Fprintln(tryCommand.streams.out, "\nBackend servers start cold, so responses are slow or missing in the first seconds. Ctrl-C stops.")
	tryCommand.showProgress(ctx, generators)
	return nil
}

// startExample starts a user's example site with fake backend servers.
func startExample(user string, instances int) (*sitetest.Site, error) {
	site, err := loadExample(user)
	if err != nil {
		return nil, err
	}
	return sitetest.Start(sitetest.Options{
		Site: site, Instances: instances, Targets: exampleTargets[user], Seed: 1, Log: zerolog.Nop(),
		Server: func(settings.ServiceName) backendservertest.Options {
			return backendservertest.Options{ServiceTime: backendservertest.Lognormal(10, 0.5)}
		},
	})
}

func (tryCommand *tryCommand) printUsage(user string, site *sitetest.Site) {
	out := tryCommand.streams.out
	fmt.Fprintf(out, "\n%s (%s)\n", user, site.Settings.Gateway)
	first := site.Entries()[0]
	for name, service := range site.Settings.Services {
		fmt.Fprintf(out, "  addresses:       curl 'http://%s%s?service=%s'\n", first.CallerAddress(), caller.AddressesPath, name)
		fmt.Fprintf(out, "  call:            curl -i -H 'Host: %s' http://%s%s\n", service.Hosts[0], first.CallerAddress(), service.PathPrefix)
	}
	fmt.Fprintf(out, "  status:          jaywheel status --operator %s\n", first.OperatorAddress())
	fmt.Fprintf(out, "  explain:         jaywheel explain --operator %s ID\n", first.OperatorAddress())
}

func (tryCommand *tryCommand) startTraffic(ctx context.Context, user string, site *sitetest.Site) (*load.Generator, error) {
	mix, err := load.EvenMix(site.Settings)
	if err != nil {
		return nil, err
	}
	generator := load.NewGenerator(load.Options{
		Name: user, Mix: mix, Rate: tryCommand.Rate, Seed: 1,
		Send: load.ThroughInstances(seedsOf(site)),
	})
	go generator.RunForever(ctx)
	return generator, nil
}

func seedsOf(site *sitetest.Site) []string {
	var seeds []string
	for _, entry := range site.Entries() {
		seeds = append(seeds, entry.CallerAddress())
	}
	return seeds
}

// showProgress prints a line per second for each site until the context is done.
func (tryCommand *tryCommand) showProgress(ctx context.Context, generators []*load.Generator) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, generator := range generators {
				printProgress(tryCommand.streams.out, generator)
			}
		}
	}
}

func printProgress(out io.Writer, generator *load.Generator) {
	progress := generator.TakeProgress()
	fmt.Fprintf(out, "%-8s %5d calls, answered %5d, notRun %4d, unknown %3d, p50 %7.2fms, p99 %7.2fms\n",
		generator.Name(), progress.Calls, progress.Answered, progress.NotRun, progress.Unknown, progress.P50, progress.P99)
}
