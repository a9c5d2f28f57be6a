package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/operator"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

const explainLong = `Shows the trace of one request: for each attempt the backend server, the number of targets from which it was
selected, its permits in use, and the result. ID is the response's Jaywheel-Request-Id header. Each instance keeps the traces of
its latest 4096 requests, so query the instance that served the request.`

type explainCommand struct {
	Operator string `long:"operator" value-name:"IP:PORT" required:"yes" description:"Operator address of the instance"`
	JSON     bool   `long:"json" description:"Print the trace as JSON"`
	Argument struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
	streams streams
}

// Execute implements flags.Commander.
func (explainCommand *explainCommand) Execute([]string) error {
	text, err := fetch(explainCommand.Operator, operator.ExplainPath, url.Values{"id": {explainCommand.Argument.ID}})
	if err != nil {
		return err
	}
	if explainCommand.JSON {
		fmt.Fprintf(explainCommand.streams.out, "%s", text)
		return nil
	}
	var requestTrace trace.Request
	if err := json.Unmarshal(text, &requestTrace); err != nil {
		return errors.Wrapf(err, "parse the response of instance %s", explainCommand.Operator)
	}
	printTrace(explainCommand.streams.out, requestTrace)
	return nil
}

// formatMilliseconds formats a duration in milliseconds with two decimals.
func formatMilliseconds(length clock.Milliseconds) string {
	return fmt.Sprintf("%.2fms", float64(length))
}

func printTrace(out io.Writer, requestTrace trace.Request) {
	fmt.Fprintf(out, "request %s, %s %s/%s, settings revision %d, timeout %s\n",
		requestTrace.ID, requestTrace.Method, requestTrace.Service, requestTrace.Class, requestTrace.Revision, formatMilliseconds(requestTrace.Timeout))
	if requestTrace.Behind > 0 {
		fmt.Fprintf(out, "pipelined: %d earlier requests of its connection were in progress, whose responses were sent first\n", requestTrace.Behind)
	}
	if requestTrace.Held > 0 {
		fmt.Fprintf(out, "pipelined: its response was held for %s until then\n", formatMilliseconds(requestTrace.Held))
	}
	for number, attempt := range requestTrace.Attempts {
		fmt.Fprintf(out, "%d. %s\n", number+1, describeChoice(attempt))
		connection := "a new connection"
		if attempt.Reused {
			connection = "a reused connection"
		}
		fmt.Fprintf(out, "   sent on %s; after %s: %s", connection, formatMilliseconds(attempt.Duration), attempt.Result)
		if attempt.Status != 0 {
			fmt.Fprintf(out, ", status %d", attempt.Status)
		}
		if attempt.Error != "" {
			fmt.Fprintf(out, " (%s)", attempt.Error)
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "outcome %s, reason %s, status %d, after %s\n",
		requestTrace.Outcome, requestTrace.Reason, requestTrace.Status, formatMilliseconds(requestTrace.Duration))
	if requestTrace.Error != "" {
		fmt.Fprintf(out, "error: %s\n", requestTrace.Error)
	}
}

func describeChoice(attempt trace.Attempt) string {
	if attempt.Considered == 0 {
		return fmt.Sprintf("no permit was free; waited %s until %s in %s had one", formatMilliseconds(attempt.QueueWait), attempt.Target, attempt.DataCentre)
	}
	return fmt.Sprintf("of %d targets with a free permit, %s in %s was selected (%d permits in use, including this request's)",
		attempt.Considered, attempt.Target, attempt.DataCentre, attempt.InFlight)
}
