package fleet

import (
	"bytes"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

var (
	oddSeed  = flag.Uint64("odd.seed", 1, "first seed of TestOddInputsAreSurvived")
	oddSeeds = flag.Uint64("odd.seeds", 20, "number of seeds of TestOddInputsAreSurvived")
)

// oddValues draws values for the fields of messages, servers and configurations: usual ones, and those at the ends of their types.
type oddValues struct {
	*rand.Rand
}

func draw[Value any](oddValues oddValues, values ...Value) Value {
	return values[oddValues.IntN(len(values))]
}

func (oddValues oddValues) number() float64 {
	return draw(
		oddValues, 0, 1, 2.5, 6, 100, 150, 512, 1e6, 1e9, 1e15, 1e18, 1e300, -1, -1e18, math.MaxFloat64, math.SmallestNonzeroFloat64, math.NaN(), math.Inf(1), math.Inf(-1),
	)
}

func (oddValues oddValues) integer() int64 {
	return draw[int64](oddValues, 0, 1, 2, 6, 40, 512, 65_536, 1_000_000, 1_000_000_000, math.MaxInt32, math.MaxInt64, math.MinInt64, -1, -6)
}

func (oddValues oddValues) text() string {
	return draw(
		oddValues, "", "/", "/health", "lookups", "payments", "exports", "dc-1", "example", string(targetName(1)), string(targetName(2)), string(identity(1).Name),
		identity(1).Peer, "10.9.0.1:80", "0.0.0.0:0", "\r\n", "\x00", strings.Repeat("a", 2000),
	)
}

// fill sets a value and all that it contains.
func (oddValues oddValues) fill(value reflect.Value) {
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(oddValues.IntN(2) == 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(oddValues.integer())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(oddValues.integer()))
		if value.Type() == reflect.TypeFor[TargetKey]() {
			value.SetUint(uint64(keyOf(targetName(oddValues.IntN(30)))))
		}
	case reflect.Float32, reflect.Float64:
		value.SetFloat(oddValues.number())
	case reflect.String:
		value.SetString(oddValues.text())
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		oddValues.fill(value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), oddValues.IntN(4), 4))
		for index := range value.Len() {
			oddValues.fill(value.Index(index))
		}
	case reflect.Array:
		for index := range value.Len() {
			oddValues.fill(value.Index(index))
		}
	case reflect.Map:
		value.Set(reflect.MakeMap(value.Type()))
		for range oddValues.IntN(4) {
			key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
			oddValues.fill(key)
			oddValues.fill(element)
			value.SetMapIndex(key, element)
		}
	case reflect.Struct:
		for index := range value.NumField() {
			if value.Field(index).CanSet() {
				oddValues.fill(value.Field(index))
			}
		}
	default:
		panic("no odd values of " + value.Type().String())
	}
}

// message returns a message with one kind of content.
func (oddValues oddValues) message() *Message {
	message := &Message{}
	content := reflect.ValueOf(message).Elem()
	for {
		if field := content.Field(oddValues.IntN(content.NumField())); field.CanSet() {
			oddValues.fill(field)
			break
		}
	}
	// Messages of known instances are not ignored.
	if load := message.Load; load != nil {
		load.Sender, load.Incarnation = identity(1).Name, 1
	}
	if reach := message.Reach; reach != nil {
		reach.Sender, reach.Incarnation = identity(1).Name, 1
	}
	if heartbeat := message.Heartbeat; heartbeat != nil && oddValues.IntN(2) == 0 {
		heartbeat.Identity, heartbeat.Incarnation = identity(1), 1
	}
	return message
}

// view returns a view of which some servers and a part of the configuration are odd.
func (oddValues oddValues) view(revision catalog.Revision) catalog.View {
	view := newView(30, fixtureDataCentres)
	edits := catalog.ServerEdits{}
	for range oddValues.IntN(8) {
		server := *view.Servers.Find(targetName(oddValues.IntN(30)))
		fields := reflect.ValueOf(&server).Elem()
		for range 1 + oddValues.IntN(2) {
			if field := fields.Field(oddValues.IntN(fields.NumField())); field.CanSet() {
				oddValues.fill(field)
			}
		}
		edits[server.Name] = &server
	}
	view.Servers = view.Servers.Edit(edits)
	view.Revision = revision
	view.Configuration.Version = catalog.Version(revision)
	for range oddValues.IntN(3) {
		var route catalog.Route
		oddValues.fill(reflect.ValueOf(&route).Elem())
		view.Configuration.Routes = append(view.Configuration.Routes, route)
	}
	for name := range view.Configuration.Services {
		if limits := (catalog.ServiceLimits{}); oddValues.IntN(2) == 0 {
			oddValues.fill(reflect.ValueOf(&limits).Elem())
			view.Configuration.Services[name] = limits
		}
	}
	view.Configuration.Routes = append(view.Configuration.Routes, catalog.Route{
		Name: "added", Host: "example", Prefix: fmt.Sprintf("/added-%d/", revision), Timeout: clock.Second, Attempts: 1,
		Split: []catalog.Share{{Service: "lookups", Weight: 1}},
	})
	return *view
}

// passedOn returns a view as an instance receives it that has another view.
func passedOn(t *testing.T, view, base *catalog.View) catalog.View {
	history := catalog.NewHistory()
	history.Record(view)
	update := history.UpdateSince(0)
	encoded, err := update.Encode()
	require.NoError(t, err)
	decoded, err := catalog.DecodeUpdate(bytes.NewReader(encoded))
	require.NoError(t, err)
	received, err := decoded.Apply(base)
	require.NoError(t, err)
	return received
}

// Guards against numbers and texts of other writers and other instances that end the control goroutine, size memory, or keep the next change
// from being followed.
func TestOddInputsAreSurvived(t *testing.T) {
	const maxMemory = 64 << 20
	for seed := *oddSeed; seed < *oddSeed+*oddSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			oddValues := oddValues{rand.New(rand.NewPCG(seed, 0))}
			fixture := newServingFixture(t, 6, 30)
			base := *fixture.controller.view
			for revision := catalog.Revision(2); revision < 30; revision++ {
				view := oddValues.view(revision)
				base = passedOn(t, &view, &base)
				applied := base
				fixture.controller.applyView(&applied)
				for range 20 {
					if text, err := Encode(oddValues.message()); err == nil {
						if message, err := Decode(text); err == nil {
							fixture.controller.receiveMessage(message)
						}
					}
					fixture.advance(clock.Milliseconds(oddValues.IntN(100)))
				}
				useSchedulers(t, fixture, oddValues)
				fixture.advanceSecond()
				route, err := fixture.controller.table.Load().Route("example", "GET", fmt.Sprintf("/added-%d/1", revision))
				require.NoError(t, err)
				require.Equal(t, settings.ServiceName("lookups"), route.Service.Name)
			}
			requireAllServersUsed(t, fixture)
			runtime.GC()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			require.Less(t, memory.HeapAlloc, uint64(maxMemory))
		})
	}
}

// useSchedulers sends some requests, and has probes answered with odd numbers.
func useSchedulers(t *testing.T, fixture *fixture, oddValues oddValues) {
	now := fixture.clock.Now()
	for _, state := range fixture.controller.services {
		for range 3 {
			name := targetName(oddValues.IntN(30))
			state.scheduler.Observe(name, service.LoadReading{At: now, Running: 1, Slots: 6, Slowdown: 1, ColdKnown: true, Source: service.FromProbe})
			permit, pending, err := state.scheduler.AcquireOrEnqueue(service.PermitRequest{
				Class: "lookups", SoftDeadline: now.Add(clock.Second), Deadline: now.Add(2 * clock.Second),
			})
			if err == nil && pending == nil {
				permit.Release(service.Succeeded)
			}
		}
		state.scheduler.Sweep()
		state.scheduler.ReportCold()
		targets, _ := state.scheduler.State()
		for _, target := range targets {
			require.Positive(t, target.Limit)
		}
	}
}

// requireAllServersUsed puts a view without odd parts in force and checks that each of its servers is known to its scheduler.
func requireAllServersUsed(t *testing.T, fixture *fixture) {
	view := newView(30, fixtureDataCentres)
	view.Revision = 1000
	fixture.controller.applyView(view)
	count := 0
	for _, state := range fixture.controller.services {
		targets, _ := state.scheduler.State()
		for _, target := range targets {
			if target.Usable {
				count++
			}
		}
	}
	require.Equal(t, 30, count)
}
