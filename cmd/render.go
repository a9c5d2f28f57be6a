package cmd

import (
	"fmt"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

const renderLong = `Writes the documents to publish in the configuration service: site.json, and service/NAME.json for each
service. A document that changed since the last rendering into the same directory must have a higher revision. Otherwise
instances would ignore it, so nothing is written and the exit code is 3.`

type renderCommand struct {
	siteFlags

	Out     string `long:"out" value-name:"DIRECTORY" required:"yes" description:"Directory to write to"`
	streams streams
}

// Execute implements flags.Commander.
func (renderCommand *renderCommand) Execute([]string) error {
	loaded, err := renderCommand.load()
	if err != nil {
		return err
	}
	documents, err := loaded.Site.Documents()
	if err != nil {
		return err
	}
	changed, err := settings.WriteDocuments(renderCommand.Out, documents)
	if err != nil {
		return withInvalidCode(err)
	}
	fmt.Fprintf(renderCommand.streams.out, "%d of %d documents changed\n", len(changed), len(documents))
	for _, key := range changed {
		fmt.Fprintln(renderCommand.streams.out, " ", key)
	}
	return nil
}
