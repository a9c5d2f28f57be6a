// Package sitetest runs a whole site in one process on loopback: a stand-in of the platform, stand-ins of backend
// servers, and real entry instances.
//
// # Usage
//
//	site, err := sitetest.Start(ctx, sitetest.Options{Site: settings, Instances: 3, Targets: map[settings.ServiceName]int{"browsing": 20}})
//	defer site.Close()
//	address := site.Entries[0].CallerAddress()
package sitetest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/backendservertest"
	"github.com/jaywheel/jaywheel/internal/entry"
	"github.com/jaywheel/jaywheel/internal/platform"
	"github.com/jaywheel/jaywheel/internal/platformtest"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// pollEvery is how often WaitWarm looks.
const pollEvery = 20 * time.Millisecond

// sealingKey seals datagrams between the instances of the site, which never leave loopback.
var sealingKey = strings.Repeat("2a", 32)

// Options are what a site is made from.
type Options struct {
	Site      *settings.Site
	Instances int
	// Targets is the number of backend servers of each service.
	Targets map[settings.ServiceName]int
	// Server returns the properties of a backend server; Name, Slots and the cold start are filled in.
	Server func(settings.ServiceName) backendservertest.Options
	Log    zerolog.Logger
	Seed   uint64
	// Platform overrides how instances read the platform; its addresses are filled in.
	Platform settings.Platform
	// Policy is how instances choose targets; it is left empty unless a baseline is measured.
	Policy service.Policy
}

// Site is a running site.
type Site struct {
	Settings *settings.Site
	Platform *platformtest.Platform

	options        Options
	platformServer *http.Server
	platformAt     string

	mutex   sync.Mutex
	entries map[settings.InstanceName]*Entry
	servers map[settings.TargetName]*Server
}

// Entry is a running entry instance.
type Entry struct {
	*entry.Entry

	Name       settings.InstanceName
	DataCentre settings.DataCentreName
	stop       context.CancelFunc
	stopped    chan struct{}
}

// Server is a running backend server.
type Server struct {
	*backendservertest.Server

	Name       settings.TargetName
	Service    settings.ServiceName
	DataCentre settings.DataCentreName
}

// Start publishes the settings and starts everything. It returns before backend servers are warm; WaitWarm waits.
func Start(options Options) (*Site, error) {
	site := &Site{
		Settings: options.Site, Platform: platformtest.New(), options: options,
		entries: map[settings.InstanceName]*Entry{}, servers: map[settings.TargetName]*Server{},
	}
	if err := site.start(); err != nil {
		site.Close()
		return nil, err
	}
	return site, nil
}

func (site *Site) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "stand-in of the platform")
	}
	site.platformAt = listener.Addr().String()
	site.platformServer = &http.Server{Handler: site.Platform, ReadHeaderTimeout: time.Minute}
	go func() { _ = site.platformServer.Serve(listener) }()
	if err := site.Publish(site.Settings); err != nil {
		return err
	}
	if err := site.startServers(); err != nil {
		return err
	}
	for number := range site.options.Instances {
		if _, err := site.StartEntry(settings.InstanceName(fmt.Sprintf("entry-%d", number+1)), site.dataCentre(number)); err != nil {
			return err
		}
	}
	return nil
}

// dataCentre spreads things over the data centres in turn.
func (site *Site) dataCentre(number int) settings.DataCentreName {
	var names []settings.DataCentreName
	for name := range site.Settings.DataCentres {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[number%len(names)]
}

// Publish puts settings at the configuration service, as operators do after render.
func (site *Site) Publish(changed *settings.Site) error {
	documents, err := changed.Documents()
	if err != nil {
		return err
	}
	for _, document := range documents {
		site.Platform.Publish(document.Key, document.Text)
	}
	return nil
}

func (site *Site) startServers() error {
	for name, count := range site.options.Targets {
		for number := range count {
			target := settings.TargetName(fmt.Sprintf("%s-%d", name, number+1))
			if _, err := site.StartServer(target, name, site.dataCentre(number)); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartServer starts a backend server and lists it.
func (site *Site) StartServer(target settings.TargetName, name settings.ServiceName, dataCentre settings.DataCentreName) (*Server, error) {
	serviceSettings := site.Settings.Services[name]
	options := backendservertest.Options{}
	if site.options.Server != nil {
		options = site.options.Server(name)
	}
	options.Name = string(target)
	options.Slots = serviceSettings.SlotsPerTarget
	options.ColdPlaces = serviceSettings.ColdStart.InitialPermits
	options.FullAfter = serviceSettings.ColdStart.RampUpTime
	options.Seed = site.options.Seed + uint64(len(site.servers))
	started, err := backendservertest.Start(options)
	if err != nil {
		return nil, err
	}
	server := &Server{Server: started, Name: target, Service: name, DataCentre: dataCentre}
	site.mutex.Lock()
	site.servers[target] = server
	site.mutex.Unlock()
	site.ListServer(server, platform.StateLive)
	return server, nil
}

// ListServer sets the state of a backend server in the platform's list.
func (site *Site) ListServer(server *Server, state platform.State) {
	site.Platform.SetInstance(platform.Instance{
		Name: string(server.Name), Kind: platform.KindBackendServer, State: state,
		DataCentre: server.DataCentre, Address: server.Address(), Service: server.Service,
	})
}

// StartEntry starts an entry instance and lists it.
func (site *Site) StartEntry(name settings.InstanceName, dataCentre settings.DataCentreName) (*Entry, error) {
	platformSettings := site.options.Platform
	platformSettings.ConfigurationAddress = site.platformAt
	platformSettings.InstancesAddress = site.platformAt
	process := &settings.Process{
		Instance: name, DataCentre: dataCentre,
		CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		Platform: platformSettings,
		Keys:     settings.Keys{SealWith: "site", Known: map[settings.KeyName]string{"site": sealingKey}},
	}
	process.ApplyDefaults()
	made, err := entry.New(entry.Options{
		Settings: process,
		Log:      site.options.Log.With().Str("instance", string(name)).Logger(),
		Seed:     site.options.Seed + uint64(len(site.entries)) + 1,
		Policy:   site.options.Policy,
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	started := &Entry{Entry: made, Name: name, DataCentre: dataCentre, stop: stop, stopped: make(chan struct{})}
	go func() {
		defer close(started.stopped)
		_ = made.Serve(ctx)
	}()
	peerAddress, err := made.PeerAddress(ctx)
	if err != nil {
		stop()
		return nil, err
	}
	site.mutex.Lock()
	site.entries[name] = started
	site.mutex.Unlock()
	site.ListEntry(started, peerAddress, platform.StateLive)
	return started, nil
}

// ListEntry sets the state of an entry instance in the platform's list.
func (site *Site) ListEntry(started *Entry, peerAddress netip.AddrPort, state platform.State) {
	site.Platform.SetInstance(platform.Instance{
		Name: string(started.Name), Kind: platform.KindEntry, State: state, DataCentre: started.DataCentre,
		Address: started.CallerAddress(), PeerAddress: peerAddress.String(),
	})
}

// Kill stops an entry instance at once, as a failure does. The platform's list still names it.
func (started *Entry) Kill() {
	started.stop()
	<-started.stopped
}

// Entries returns the entry instances, by name.
func (site *Site) Entries() []*Entry {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	entries := make([]*Entry, 0, len(site.entries))
	for _, started := range site.entries {
		entries = append(entries, started)
	}
	slices.SortFunc(entries, func(left, right *Entry) int { return strings.Compare(string(left.Name), string(right.Name)) })
	return entries
}

// Servers returns the backend servers of a service, by name.
func (site *Site) Servers(name settings.ServiceName) []*Server {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	var servers []*Server
	for _, server := range site.servers {
		if server.Service == name {
			servers = append(servers, server)
		}
	}
	slices.SortFunc(servers, func(left, right *Server) int { return strings.Compare(string(left.Name), string(right.Name)) })
	return servers
}

// WaitWarm waits until every instance that serves a service knows all of its backend servers to be warm.
func (site *Site) WaitWarm(ctx context.Context) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		warm, err := site.allWarm(ctx)
		if err != nil || warm {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for warm backend servers")
		}
	}
}

func (site *Site) allWarm(ctx context.Context) (bool, error) {
	for _, started := range site.Entries() {
		status, err := started.Status(ctx)
		if err != nil {
			return false, err
		}
		if !status.Ready || len(status.Services) != len(site.Settings.Services) {
			return false, nil
		}
		for _, state := range status.Services {
			if slices.Contains(state.Serving, started.Name) && !state.Warm(site.options.Targets[state.Name]) {
				return false, nil
			}
		}
	}
	return true, nil
}

// Close stops everything.
func (site *Site) Close() {
	for _, started := range site.Entries() {
		started.Kill()
	}
	site.mutex.Lock()
	defer site.mutex.Unlock()
	for _, server := range site.servers {
		server.Close()
	}
	if site.platformServer != nil {
		_ = site.platformServer.Close()
	}
}

// Quick returns a copy of settings whose backend servers warm up within moments, for runs that are about other things.
func Quick(site *settings.Site, fullAfter clock.Milliseconds) *settings.Site {
	quick := *site
	quick.Fleet.HeartbeatInterval = 50 * clock.Millisecond
	quick.Fleet.SuspectAfter = 300 * clock.Millisecond
	quick.Services = map[settings.ServiceName]settings.Service{}
	for name, service := range site.Services {
		service.ColdStart.RampUpTime = fullAfter
		quick.Services[name] = service
	}
	return &quick
}

// PlatformAddress is where the stand-in of the platform answers.
func (site *Site) PlatformAddress() string {
	return site.platformAt
}
