package cmd

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/fleet"
	"github.com/jaywheel/jaywheel/internal/operator"
)

const fleetLong = `Shows all instances on the users' platform at once: asks one for the others it knows, and then each of them at the same
operator port. One line for each, then what does not fit together: instances that don't answer, that have an older configuration than
others, or that are lost to some and alive to others. Exit code 1 when anything does not fit.`

type fleetCommand struct {
	Operator string `long:"operator" value-name:"IP:PORT" required:"yes" description:"Operator address of any instance"`
	streams  streams
}

var errFleetDiffers = errors.New("the instances do not agree")

// fleetLine is one instance, as it sees itself or as the first one sees it when it does not answer.
type fleetLine struct {
	status fleet.Status
	err    error
}

// Execute implements flags.Commander.
func (fleetCommand *fleetCommand) Execute([]string) error {
	first, err := askFleetStatus(fleetCommand.Operator)
	if err != nil {
		return err
	}
	lines, err := askPeers(fleetCommand.Operator, first)
	if err != nil {
		return err
	}
	if err := printFleet(fleetCommand.streams.out, lines); err != nil {
		return err
	}
	problems := fleetProblems(lines)
	for _, problem := range problems {
		fmt.Fprintln(fleetCommand.streams.out, problem)
	}
	if len(problems) > 0 {
		return errFleetDiffers
	}
	return nil
}

func askFleetStatus(address string) (fleet.Status, error) {
	var status fleet.Status
	text, err := ask(address, operator.StatusPath, nil)
	if err != nil {
		return status, err
	}
	return status, errors.Wrapf(json.Unmarshal(text, &status), "answer of instance %s", address)
}

// askPeers asks all instances that the first one knows, several at a time, and returns them by name.
func askPeers(address string, first fleet.Status) ([]fleetLine, error) {
	own, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "operator address")
	}
	lines := make([]fleetLine, len(first.Peers)+1)
	lines[len(first.Peers)].status = first
	var asking sync.WaitGroup
	for index, peer := range first.Peers {
		asking.Go(func() {
			lines[index] = askPeer(own.Port(), peer)
		})
	}
	asking.Wait()
	slices.SortFunc(lines, func(left, right fleetLine) int { return cmp.Compare(left.status.Instance, right.status.Instance) })
	return lines, nil
}

func askPeer(port uint16, peer fleet.PeerStatus) fleetLine {
	known := fleet.Status{Instance: peer.Name, DataCentre: peer.DataCentre, State: peer.State, Revision: peer.Revision, Version: peer.Version}
	address, err := netip.ParseAddrPort(peer.Address)
	if err != nil {
		return fleetLine{status: known, err: err}
	}
	status, err := askFleetStatus(netip.AddrPortFrom(address.Addr(), port).String())
	if err != nil {
		return fleetLine{status: known, err: err}
	}
	return fleetLine{status: status}
}

func printFleet(out io.Writer, lines []fleetLine) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "instance\tdata centre\tstate\tready\treads\tversion\trevision\tin flight\twaiting\tpeers")
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
				inFlight += target.Own
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%t\t%d\t%d\t%d\t%d\t%d\n", status.Instance, status.DataCentre, status.State, status.Ready, status.Reads,
			status.Version, status.Revision, inFlight, waiting, len(status.Peers))
	}
	return errors.Wrap(table.Flush(), "write table")
}

// fleetProblems says what does not fit together. Revisions may differ for a second; configurations must not for longer than they
// take to come into force.
func fleetProblems(lines []fleetLine) []string {
	var problems []string
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
			problems = append(problems, fmt.Sprintf("%s does not answer: %v", name, line.err))
			continue
		}
		if line.status.Version < newest {
			problems = append(problems, fmt.Sprintf("%s has configuration %d in force, others %d", name, line.status.Version, newest))
		}
		for _, peer := range line.status.Peers {
			if peer.State == "lost" && answering[string(peer.Name)] {
				problems = append(problems, fmt.Sprintf("%s has lost sight of %s, which answers", name, peer.Name))
			}
		}
	}
	return problems
}
