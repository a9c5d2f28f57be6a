package cmd

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/quota"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// teamLine is the usage of one team, summed over all instances that answered.
type teamLine struct {
	usage quota.Usage
	// instances lists the instances that received requests of the team.
	instances []settings.InstanceName
}

// teamLines sums the usage that the instances report for each team and sorts the teams by refused requests, most first.
func teamLines(lines []fleetLine) []teamLine {
	byName := map[string]*teamLine{}
	for _, line := range lines {
		for _, usage := range line.status.Teams {
			team, known := byName[string(usage.Team)]
			if !known {
				team = &teamLine{usage: quota.Usage{Team: usage.Team, Rate: usage.Rate}}
				byName[string(usage.Team)] = team
			}
			team.usage.Admitted += usage.Admitted
			team.usage.Refused += usage.Refused
			team.usage.Returned += usage.Returned
			team.instances = append(team.instances, line.status.Instance)
		}
	}
	teams := make([]teamLine, 0, len(byName))
	for _, team := range byName {
		teams = append(teams, *team)
	}
	slices.SortFunc(teams, func(left, right teamLine) int {
		return cmp.Or(cmp.Compare(right.usage.Refused, left.usage.Refused), cmp.Compare(left.usage.Team, right.usage.Team))
	})
	return teams
}

func printTeams(out io.Writer, lines []fleetLine) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "team\trate\tasked\tlet in\trefused\treturned\tby")
	for _, team := range teamLines(lines) {
		usage := team.usage
		fmt.Fprintf(table, "%s\t%.1f\t%d\t%d\t%d\t%d\t%v\n", usage.Team, usage.Rate, usage.Admitted+usage.Refused,
			usage.Admitted, usage.Refused, usage.Returned, team.instances)
	}
	return errors.Wrap(table.Flush(), "write table")
}
