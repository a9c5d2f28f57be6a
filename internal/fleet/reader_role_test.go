package fleet

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// receiveUnanswered passes heartbeats of the serving instances, of which the given number get no answers of the store.
func (fixture *fixture) receiveUnanswered(unanswered int) {
	for number := range fixture.serving {
		fixture.sequence++
		fixture.controller.receiveMessage(&Message{Heartbeat: &membership.Heartbeat{
			Identity: identity(number), Incarnation: 1, Sequence: fixture.sequence, State: membership.Serving, Revision: 1, Version: 1,
			CatalogFresh: number >= unanswered,
		}})
	}
}

// receiveStandby passes the heartbeat of an instance on standby, which may read the store and get answers.
func (fixture *fixture) receiveStandby(number int, fresh bool) {
	fixture.sequence++
	fixture.controller.receiveMessage(&Message{Heartbeat: &membership.Heartbeat{
		Identity: identity(number), Incarnation: 1, Sequence: fixture.sequence, State: membership.Standby, Revision: 1, Version: 1, CatalogFresh: fresh,
	}})
}

// Guards against an instance whose status and log do not show why it reads the store, or takes its configuration for confirmed, and against
// a fleet in which one instance without answers of the store makes others read it all the time.
func TestReasonToReadTheStoreIsShown(t *testing.T) {
	cases := []struct {
		name       string
		next       bool
		unanswered int
		after      clock.Milliseconds
		reason     readReason
		confirmed  bool
	}{
		{"all get answers", true, 0, clock.Second, "", true},
		{"one gets none, just now", true, 1, doubtDelay / 2, "", true},
		{"one gets none", true, 1, doubtDelay, readDoubts, true},
		{"one gets none, this instance does not serve next", false, 1, doubtDelay, "", true},
		{"one gets none for long, the others do", true, 1, doubtPeriod, "", true},
		{"none gets any", true, fixtureDataCentres, doubtDelay, readDoubts, true},
		{"none gets any for long", true, fixtureDataCentres, doubtPeriod, readLeaderless, false},
		{"none gets any, this instance does not serve next", false, fixtureDataCentres, doubtPeriod, "", false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newStandbyFixture(t, 12, 30)
			var log bytes.Buffer
			fixture.controller.options.Log = zerolog.New(&log)
			if testCase.next {
				fixture.receiveHeartbeat(7, membership.Leaving, 1)
			}
			fixture.receiveUnanswered(testCase.unanswered)
			fixture.controller.tick()
			for passed := clock.Milliseconds(0); passed < testCase.after; passed += doubtDelay / 2 {
				fixture.advance(doubtDelay / 2)
				fixture.receiveUnanswered(testCase.unanswered)
				fixture.controller.tick()
			}
			status := fixture.controller.status()
			require.EqualValues(t, testCase.reason, status.Catalog.ReadsBecause)
			require.Equal(t, testCase.reason != "", status.Reads)
			require.Equal(t, testCase.confirmed, status.Catalog.Confirmed)
			require.Equal(t, testCase.unanswered, status.Catalog.Unanswered)
			require.Positive(t, status.Catalog.VersionFor)
			if testCase.reason != "" {
				require.Contains(t, log.String(), `"reason":"`+string(testCase.reason)+`"`)
			}
			require.Equal(t, !testCase.confirmed, bytes.Contains(log.Bytes(), []byte("no instance with answers of the store")))
		})
	}
}

// Guards against a fleet that waits for seconds because the store answers neither those that serve nor those that serve next, and against
// one in which all instances call a store that is down.
func TestOthersReadInTurnWhenThoseNextGetNoAnswers(t *testing.T) {
	cases := []struct {
		name     string
		replaced bool
		after    clock.Milliseconds
		reads    bool
	}{
		{"before its turn", false, doubtDelay + turnInterval/2, false},
		{"in its turn", false, doubtDelay + turnInterval, true},
		{"after its turn", false, doubtDelay + turnInterval + turnLength, false},
		{"an instance that serves next gets answers", true, doubtDelay + turnInterval, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newStandbyFixture(t, 12, 30)
			require.Equal(t, 1, fixture.controller.members.PositionAfterNext())
			for number := fixtureDataCentres; number < 11; number++ {
				fixture.receiveStandby(number, testCase.replaced && number == 7)
			}
			fixture.receiveUnanswered(fixtureDataCentres)
			fixture.controller.tick()
			for passed := clock.Milliseconds(0); passed < testCase.after; passed += 25 {
				fixture.advance(25)
				fixture.receiveUnanswered(fixtureDataCentres)
				fixture.controller.tick()
			}
			require.Equal(t, testCase.reads, fixture.readsStore)
		})
	}
}
