package cmd

import (
	"encoding/json"
	"fmt"
	"net/url"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/caller"
)

const addressesLong = `Asks an instance which instances callers of a service should use, as callers do, and prints the answer with
the time for which it may be kept.`

type addressesCommand struct {
	Instance string `long:"instance" value-name:"IP:PORT" required:"yes" description:"Caller address of any instance"`
	Service  string `long:"service" value-name:"NAME" required:"yes" description:"Service"`
	JSON     bool   `long:"json" description:"Print the answer as it came"`
	streams  streams
}

// Execute implements flags.Commander.
func (addressesCommand *addressesCommand) Execute([]string) error {
	text, err := fetch(addressesCommand.Instance, caller.AddressesPath, url.Values{"service": {addressesCommand.Service}})
	if err != nil {
		return err
	}
	out := addressesCommand.streams.out
	if addressesCommand.JSON {
		fmt.Fprintf(out, "%s", text)
		return nil
	}
	var answer caller.Addresses
	if err := json.Unmarshal(text, &answer); err != nil {
		return errors.Wrapf(err, "answer of instance %s", addressesCommand.Instance)
	}
	fmt.Fprintf(out, "service %s, settings revision %d, keep for %s\n", answer.Service, answer.Revision, answer.TTL)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, entry := range answer.Addresses {
		fmt.Fprintf(table, "%s\t%s\t%s\n", entry.Address, entry.Instance, entry.DataCentre)
	}
	return table.Flush()
}
