package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/control"
	"github.com/jaywheel/jaywheel/internal/operator"
)

const statusLong = `Shows the state of an instance: settings in force, rejected documents (REFUSED), peers, and for each service the
backend servers with the permits in use. Columns: owned = this instance reads the server's load report and sends it the first
requests while it is cold; own = requests of this instance in flight; held = permits kept in use after a failure; limit = requests
that this instance may have in flight there; failures = consecutive failures; conns = open connections.`

type statusCommand struct {
	Operator string `long:"operator" value-name:"IP:PORT" required:"yes" description:"Operator address of the instance"`
	JSON     bool   `long:"json" description:"Print everything as JSON"`
	streams  streams
}

// Execute implements flags.Commander.
func (statusCommand *statusCommand) Execute([]string) error {
	text, err := fetch(statusCommand.Operator, operator.StatusPath, nil)
	if err != nil {
		return err
	}
	if statusCommand.JSON {
		fmt.Fprintf(statusCommand.streams.out, "%s", text)
		return nil
	}
	var status control.Status
	if err := json.Unmarshal(text, &status); err != nil {
		return errors.Wrapf(err, "parse the response of instance %s", statusCommand.Operator)
	}
	return printStatus(statusCommand.streams.out, status)
}

func printStatus(out io.Writer, status control.Status) error {
	fmt.Fprintf(out, "instance %s in %s, site revision %d, ready %t, leaving %t\n",
		status.Instance, status.DataCentre, status.SiteRevision, status.Ready, status.Leaving)
	for key, problem := range status.Problems {
		fmt.Fprintf(out, "REFUSED %s: %s\n", key, problem)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\npeer\tdata centre\tsuspected\tleaving\tsame settings")
	for _, peer := range status.Peers {
		fmt.Fprintf(table, "%s\t%s\t%t\t%t\t%t\n", peer.Name, peer.DataCentre, peer.Suspected, peer.Leaving, peer.SameSettings)
	}
	for _, service := range status.Services {
		fmt.Fprintf(table, "\nservice %s, revision %d, served by %v, %d waiting\n", service.Name, service.Revision, service.Serving, service.Waiting)
		fmt.Fprintln(table, "target\tdata centre\taddress\tphase\towned\town\theld\tlimit\tfailures\tconns")
		for _, target := range service.Targets {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%t\t%d\t%d\t%d\t%d\t%d\n", target.Name, target.DataCentre, target.Address,
				target.Phase, target.Owned, target.OwnInFlight, target.PenaltyPermits, target.Limit, target.Failures, target.Connections)
		}
	}
	return table.Flush()
}
