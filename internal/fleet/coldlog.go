package fleet

import (
	"fmt"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const (
	// coldLogInterval is the shortest interval between two log lines on cold backend servers.
	coldLogInterval = 500 * clock.Millisecond
	// maxLoggedCold is the maximum number of backend servers that one line names.
	maxLoggedCold = 12
)

// EventSentUnwarmed counts requests that were sent to backend servers which were not known to be warm.
const EventSentUnwarmed = "server.sentUnwarmed"

// coldLog logs which backend servers this instance takes as cold, by whose word, and how many requests it sends to them.
type coldLog struct {
	next clock.Moment
	// logged are the cold backend servers of the last lines, and by whose word they were cold.
	logged map[settings.TargetName]service.Source
}

// logCold writes the log lines on cold backend servers, if there was a change or if requests were sent to them.
func (controller *Controller) logCold(now clock.Moment) {
	if now < controller.coldLog.next {
		return
	}
	controller.coldLog.next = now.Add(coldLogInterval)
	logged := make(map[settings.TargetName]service.Source, len(controller.coldLog.logged))
	for name, state := range controller.services {
		report := state.scheduler.ReportCold()
		changed, sent := false, 0
		for index := range report.Targets {
			target := &report.Targets[index]
			sent += target.Sent
			if target.Cold {
				logged[target.Name] = target.Source
				changed = changed || controller.coldLog.logged[target.Name] != target.Source
			}
		}
		controller.options.Registry.Events.Add(EventSentUnwarmed, int64(sent))
		if !changed && sent == 0 {
			continue
		}
		controller.options.Log.Info().Str("service", string(name)).Int("cold", report.Cold).Int("unknown", report.Unknown).Int("servers", report.Total).
			Int("sent", sent).Strs("each", describeCold(report.Targets)).Msg("backend servers that are cold or not known to be warm")
	}
	controller.coldLog.logged = logged
}

// describeCold describes the first targets of a report.
func describeCold(targets []service.ColdTarget) []string {
	var texts []string
	for index := range targets[:min(len(targets), maxLoggedCold)] {
		target := &targets[index]
		text := string(target.Name) + " unknown"
		if target.Cold {
			text = fmt.Sprintf("%s cold for %.0fms, until in %.0fms, by %s", target.Name, target.Since, target.Remaining, target.Source)
		}
		if target.Owned {
			text += ", own"
		}
		if target.Sent > 0 {
			text += fmt.Sprintf(", sent %d", target.Sent)
		}
		texts = append(texts, text)
	}
	return texts
}
