package cmd

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/fleet"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/operator"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const fleetLong = `Shows all instances on the users' platform: queries one instance for its peers, then each peer at the same operator
port. Prints one line for each instance, first instances with a problem, then serving instances; then the number of instances in
each state, and the problems: instances that don't answer, that have an older configuration than others, or that consider an
instance lost although it answers. The exit code is 1 if there is any problem, even if a filter hides the instance.

Columns: ready = the readiness check succeeds; reads = the instance reads the store itself; version = configuration in force;
revision = newest known change of the store; in flight = requests at backend servers; waiting = requests that wait for a permit;
connections = open connections of callers, and how many may be open before requests are refused; peers = number of other instances that it knows.

  jaywheel fleet --operator 10.1.0.34:8544
  jaywheel fleet --operator 10.1.0.34:8544 --state serving
  jaywheel fleet --operator 10.1.0.34:8544 --data-centre sofia-a --problems
  jaywheel fleet --operator 10.1.0.34:8544 --teams`

type fleetCommand struct {
	Operator   string `long:"operator" value-name:"IP:PORT" required:"yes" description:"Operator address of any instance"`
	DataCentre string `long:"data-centre" value-name:"NAME" description:"Show only instances in this data centre"`
	State      string `long:"state" choice:"joining" choice:"standingBy" choice:"serving" choice:"leaving" choice:"lost" description:"Show only instances in this state"`
	Problems   bool   `long:"problems" description:"Show only instances with a problem"`
	Teams      bool   `long:"teams" description:"Show rate-limited teams instead of instances: requests received, admitted, refused and returned, and by which instances"`
	streams    streams
}

var errFleetInconsistent = errors.New("the fleet has problems")

// fleetLine is one instance, with its own status or, if it does not answer, its status according to the first instance.
type fleetLine struct {
	status fleet.Status
	err    error
	// hasProblem states whether one of the problems concerns the instance.
	hasProblem bool
}

// problem is an inconsistency or failure of one instance.
type problem struct {
	instance settings.InstanceName
	text     string
}

// Execute implements flags.Commander.
func (fleetCommand *fleetCommand) Execute([]string) error {
	first, err := fetchFleetStatus(fleetCommand.Operator)
	if err != nil {
		return err
	}
	lines, err := fetchPeers(fleetCommand.Operator, first)
	if err != nil {
		return err
	}
	problems := fleetProblems(lines)
	sortFleet(lines, problems)
	shown := slices.DeleteFunc(slices.Clone(lines), func(line fleetLine) bool { return !fleetCommand.matchesFilters(line) })
	printLines := printFleet
	if fleetCommand.Teams {
		printLines = printTeams
	}
	if err := printLines(fleetCommand.streams.out, shown); err != nil {
		return err
	}
	fmt.Fprintln(fleetCommand.streams.out, summary(lines))
	for _, problem := range problems {
		fmt.Fprintln(fleetCommand.streams.out, problem.text)
	}
	if len(problems) > 0 {
		return errFleetInconsistent
	}
	return nil
}

// matchesFilters reports whether a line is to be shown according to the flags.
func (fleetCommand *fleetCommand) matchesFilters(line fleetLine) bool {
	return (fleetCommand.DataCentre == "" || string(line.status.DataCentre) == fleetCommand.DataCentre) &&
		(fleetCommand.State == "" || line.status.State == fleetCommand.State) && (!fleetCommand.Problems || line.hasProblem)
}

// sortFleet marks the instances with problems and sorts the lines: instances with problems first, then serving instances.
func sortFleet(lines []fleetLine, problems []problem) {
	for index := range lines {
		lines[index].hasProblem = slices.ContainsFunc(problems, func(problem problem) bool { return problem.instance == lines[index].status.Instance })
	}
	order := func(line fleetLine) int {
		switch {
		case line.hasProblem:
			return 0
		case line.status.State == membership.Serving.String():
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(lines, func(left, right fleetLine) int {
		return cmp.Or(order(left)-order(right), cmp.Compare(left.status.Instance, right.status.Instance))
	})
}

// summary returns the number of instances in each state as text.
func summary(lines []fleetLine) string {
	counts := map[string]int{}
	for _, line := range lines {
		state := line.status.State
		if line.err != nil {
			state = "not answering"
		}
		counts[state]++
	}
	text := fmt.Sprintf("%d instances:", len(lines))
	for _, state := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf(" %d %s,", counts[state], state)
	}
	return strings.TrimSuffix(text, ",")
}

func fetchFleetStatus(address string) (fleet.Status, error) {
	var status fleet.Status
	text, err := fetch(address, operator.StatusPath, nil)
	if err != nil {
		return status, err
	}
	return status, errors.Wrapf(json.Unmarshal(text, &status), "parse the response of instance %s", address)
}

// maxConcurrentFetches is the largest number of instances that are queried concurrently.
const maxConcurrentFetches = 32

// fetchPeers queries all peers of the first instance concurrently and returns a line for each peer and for the first
// instance.
func fetchPeers(address string, first fleet.Status) ([]fleetLine, error) {
	own, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse the operator address")
	}
	lines := make([]fleetLine, len(first.Peers)+1)
	lines[len(first.Peers)].status = first
	var fetches sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFetches)
	for index, peer := range first.Peers {
		fetches.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			lines[index] = fetchPeer(own.Port(), peer)
		})
	}
	fetches.Wait()
	return lines, nil
}

func fetchPeer(port uint16, peer fleet.PeerStatus) fleetLine {
	known := fleet.Status{Instance: peer.Name, DataCentre: peer.DataCentre, State: peer.State, Revision: peer.Revision, Version: peer.Version}
	address, err := netip.ParseAddrPort(peer.Address)
	if err != nil {
		return fleetLine{status: known, err: err}
	}
	status, err := fetchFleetStatus(netip.AddrPortFrom(address.Addr(), port).String())
	if err != nil {
		return fleetLine{status: known, err: err}
	}
	return fleetLine{status: status}
}

func printFleet(out io.Writer, lines []fleetLine) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "instance\tdata centre\tstate\tready\treads\tversion\trevision\tin flight\twaiting\tconnections\tpeers")
	for _, line := range lines {
		status := line.status
		if line.err != nil {
			fmt.Fprintf(table, "%s\t%s\t%s\tdoes not answer\n", status.Instance, status.DataCentre, status.State)
			continue
		}
		inFlight, waiting := 0, 0
		for _, service := range status.Services {
			waiting += service.Waiting
			for _, target := range service.Targets {
				inFlight += target.OwnInFlight
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%t\t%d\t%d\t%d\t%d\t%d/%d\t%d\n", status.Instance, status.DataCentre, status.State, status.Ready, status.Reads,
			status.Version, status.Revision, inFlight, waiting, status.Connections.Open, status.Connections.Limit, len(status.Peers))
	}
	return errors.Wrap(table.Flush(), "write table")
}

// fleetProblems returns the inconsistencies between the instances. Store revisions are not compared, since they may differ for a
// second; configuration versions may differ only for the time that a new version takes to come into force.
func fleetProblems(lines []fleetLine) []problem {
	var problems []problem
	var newest catalog.Version
	answering := map[string]bool{}
	for _, line := range lines {
		if line.err == nil {
			newest = max(newest, line.status.Version)
			answering[string(line.status.Instance)] = true
		}
	}
	for _, line := range lines {
		name := line.status.Instance
		if line.err != nil {
			problems = append(problems, problem{name, fmt.Sprintf("%s does not answer: %v", name, line.err)})
			continue
		}
		if line.status.Version < newest {
			problems = append(problems, problem{name, fmt.Sprintf("%s has configuration %d in force, others %d", name, line.status.Version, newest)})
		}
		if len(line.status.Unreachable) > 0 {
			problems = append(problems, problem{name, fmt.Sprintf("%s cannot reach the servers of %v", name, line.status.Unreachable)})
		}
		for _, peer := range line.status.Peers {
			if peer.State == "lost" && answering[string(peer.Name)] {
				problems = append(problems, problem{name, fmt.Sprintf("%s has lost sight of %s, which answers", name, peer.Name)})
			}
		}
	}
	return problems
}
