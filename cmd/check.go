package cmd

import (
	"encoding/json"
	"fmt"
)

const checkLong = `Checks a site's settings: the base file, the overlay, and the result of merging them. Prints the fields that the
overlay changed and the effective result with defaults. All problems are reported together, one per line, with file and
field; the exit code is then 3.`

type checkCommand struct {
	siteFlags

	JSON    bool `long:"json" description:"Print the effective settings only, as JSON"`
	streams streams
}

// Execute implements flags.Commander.
func (checkCommand *checkCommand) Execute([]string) error {
	loaded, err := checkCommand.load()
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(loaded.Site, "", "  ")
	if err != nil {
		return err
	}
	out := checkCommand.streams.out
	if !checkCommand.JSON {
		fmt.Fprintf(out, "ok: %d services\n\nThe overlay changed %d fields:\n", len(loaded.Site.Services), len(loaded.Changes))
		for _, change := range loaded.Changes {
			fmt.Fprintf(out, "  %s: %s -> %s\n", change.Path, change.From, change.To)
		}
		fmt.Fprintln(out, "\nEffective settings:")
	}
	fmt.Fprintln(out, string(text))
	return nil
}
