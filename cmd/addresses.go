package cmd

import (
	"encoding/json"
	"fmt"
	"net/url"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/caller"
)

const addressesLong = `Queries an instance, as callers do, for the addresses that callers of a service should use. Prints the addresses
and the time for which they may be cached.`

type addressesCommand struct {
	Instance string `long:"instance" value-name:"IP:PORT" required:"yes" description:"Caller address of any instance"`
	Service  string `long:"service" value-name:"NAME" required:"yes" description:"Service"`
	JSON     bool   `long:"json" description:"Print the response unchanged"`
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
	var addresses caller.Addresses
	if err := json.Unmarshal(text, &addresses); err != nil {
		return errors.Wrapf(err, "parse the response of instance %s", addressesCommand.Instance)
	}
	fmt.Fprintf(out, "service %s, settings revision %d, keep for %s\n", addresses.Service, addresses.Revision, addresses.TTL)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, entry := range addresses.Addresses {
		fmt.Fprintf(table, "%s\t%s\t%s\n", entry.Address, entry.Instance, entry.DataCentre)
	}
	return table.Flush()
}
