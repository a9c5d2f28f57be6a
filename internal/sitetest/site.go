// Package sitetest runs a whole site in one process on the loopback interface: a fake platform, fake backend servers and real
// entry instances.
//
// # Usage
//
//	site, err := sitetest.Start(sitetest.Options{Site: settings, Instances: 3, Targets: map[settings.ServiceName]int{"browsing": 20}})
//	defer site.Close()
//	address := site.Entries()[0].CallerAddress()
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

// warmPollInterval is the time between two checks of WaitWarm.
const warmPollInterval = 20 * time.Millisecond

// sealingKey seals the datagrams between the instances of the site, which never leave the loopback interface.
var sealingKey = strings.Repeat("2a", 32)

// Options configures a site.
type Options struct {
	Site      *settings.Site
	Instances int
	// Targets is the number of backend servers of each service.
	Targets map[settings.ServiceName]int
	// Server returns the options of a backend server. Name, Slots, the cold start and Seed are set by StartServer.
	Server func(settings.ServiceName) backendservertest.Options
	Log    zerolog.Logger
	Seed   uint64
	// Platform contains the settings with which instances read the platform. Its addresses are set by StartEntry.
	Platform settings.Platform
	// Policy is the policy by which instances choose targets. It is empty unless a baseline is measured.
	Policy service.Policy
}

// Site is a running site.
type Site struct {
	Settings *settings.Site
	Platform *platformtest.Platform

	options         Options
	platformServer  *http.Server
	platformAddress string

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
	done       chan struct{}
}

// Server is a running backend server.
type Server struct {
	*backendservertest.Server

	Name       settings.TargetName
	Service    settings.ServiceName
	DataCentre settings.DataCentreName
}

// Start publishes the settings and starts the platform, the backend servers and the entry instances. It returns before the
// backend servers are warm; see WaitWarm.
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
		return errors.Wrap(err, "listen for the fake platform")
	}
	site.platformAddress = listener.Addr().String()
	site.platformServer = &http.Server{Handler: site.Platform, ReadHeaderTimeout: time.Minute}
	go func() { _ = site.platformServer.Serve(listener) }()
	if err := site.Publish(site.Settings); err != nil {
		return err
	}
	if err := site.startServers(); err != nil {
		return err
	}
	for number := range site.options.Instances {
		if _, err := site.StartEntry(settings.InstanceName(fmt.Sprintf("entry-%d", number+1)), site.dataCentreOf(number)); err != nil {
			return err
		}
	}
	return nil
}

// dataCentreOf assigns the data centres in round-robin order.
func (site *Site) dataCentreOf(number int) settings.DataCentreName {
	var names []settings.DataCentreName
	for name := range site.Settings.DataCentres {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[number%len(names)]
}

// Publish writes settings to the configuration service, as operators do after the render command.
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
			if _, err := site.StartServer(target, name, site.dataCentreOf(number)); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartServer starts a backend server and adds it to the platform's list of instances.
func (site *Site) StartServer(target settings.TargetName, name settings.ServiceName, dataCentre settings.DataCentreName) (*Server, error) {
	serviceSettings := site.Settings.Services[name]
	options := backendservertest.Options{}
	if site.options.Server != nil {
		options = site.options.Server(name)
	}
	options.Name = string(target)
	options.Slots = serviceSettings.SlotsPerTarget
	options.ColdLimit = serviceSettings.ColdStart.InitialPermits
	options.WarmupDuration = serviceSettings.ColdStart.RampUpTime
	options.Seed = site.options.Seed + uint64(len(site.servers))
	backendServer, err := backendservertest.Start(options)
	if err != nil {
		return nil, err
	}
	server := &Server{Server: backendServer, Name: target, Service: name, DataCentre: dataCentre}
	site.mutex.Lock()
	site.servers[target] = server
	site.mutex.Unlock()
	site.SetServerState(server, platform.StateLive)
	return server, nil
}

// SetServerState sets the state of a backend server in the platform's list.
func (site *Site) SetServerState(server *Server, state platform.State) {
	site.Platform.SetInstance(platform.Instance{
		Name: string(server.Name), Kind: platform.KindBackendServer, State: state,
		DataCentre: server.DataCentre, Address: server.Address(), Service: server.Service,
	})
}

// StartEntry starts an entry instance and adds it to the platform's list of instances.
func (site *Site) StartEntry(name settings.InstanceName, dataCentre settings.DataCentreName) (*Entry, error) {
	platformSettings := site.options.Platform
	platformSettings.ConfigurationAddress = site.platformAddress
	platformSettings.InstancesAddress = site.platformAddress
	process := &settings.Process{
		Instance: name, DataCentre: dataCentre,
		CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		Platform: platformSettings,
		Keys:     settings.Keys{SealWith: "site", Known: map[settings.KeyName]string{"site": sealingKey}},
	}
	process.ApplyDefaults()
	instance, err := entry.New(entry.Options{
		Settings: process,
		Log:      site.options.Log.With().Str("instance", string(name)).Logger(),
		Seed:     site.options.Seed + uint64(len(site.entries)) + 1,
		Policy:   site.options.Policy,
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	newEntry := &Entry{Entry: instance, Name: name, DataCentre: dataCentre, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(newEntry.done)
		_ = instance.Serve(ctx)
	}()
	peerAddress, err := instance.PeerAddress(ctx)
	if err != nil {
		stop()
		return nil, err
	}
	site.mutex.Lock()
	site.entries[name] = newEntry
	site.mutex.Unlock()
	site.SetEntryState(newEntry, peerAddress, platform.StateLive)
	return newEntry, nil
}

// SetEntryState sets the state of an entry instance in the platform's list.
func (site *Site) SetEntryState(entry *Entry, peerAddress netip.AddrPort, state platform.State) {
	site.Platform.SetInstance(platform.Instance{
		Name: string(entry.Name), Kind: platform.KindEntry, State: state, DataCentre: entry.DataCentre,
		Address: entry.CallerAddress(), PeerAddress: peerAddress.String(),
	})
}

// Kill stops the entry instance at once, like a crash. It stays in the platform's list of instances.
func (entry *Entry) Kill() {
	entry.stop()
	<-entry.done
}

// Entries returns the entry instances, including killed ones, sorted by name.
func (site *Site) Entries() []*Entry {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	entries := make([]*Entry, 0, len(site.entries))
	for _, entry := range site.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(left, right *Entry) int { return strings.Compare(string(left.Name), string(right.Name)) })
	return entries
}

// Servers returns the backend servers of a service, sorted by name.
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

// WaitWarm waits until each instance that serves a service reports all backend servers of the service as warm. It returns an
// error if the context ends first.
func (site *Site) WaitWarm(ctx context.Context) error {
	ticker := time.NewTicker(warmPollInterval)
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
	for _, entry := range site.Entries() {
		status, err := entry.Status(ctx)
		if err != nil {
			return false, err
		}
		if !status.Ready || len(status.Services) != len(site.Settings.Services) {
			return false, nil
		}
		for _, serviceStatus := range status.Services {
			if slices.Contains(serviceStatus.Serving, entry.Name) && !serviceStatus.Warm(site.options.Targets[serviceStatus.Name]) {
				return false, nil
			}
		}
	}
	return true, nil
}

// Close stops the entry instances, the backend servers and the platform.
func (site *Site) Close() {
	for _, entry := range site.Entries() {
		entry.Kill()
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

// WithShortIntervals returns a copy of the settings with short intervals of heartbeats and failure detection, whose backend servers
// are warm after rampUpTime. It is for runs that test anything but warm-up.
func WithShortIntervals(site *settings.Site, rampUpTime clock.Milliseconds) *settings.Site {
	shortened := *site
	shortened.Fleet.HeartbeatInterval = 50 * clock.Millisecond
	shortened.Fleet.SuspectAfter = 300 * clock.Millisecond
	shortened.Services = map[settings.ServiceName]settings.Service{}
	for name, service := range site.Services {
		service.ColdStart.RampUpTime = rampUpTime
		shortened.Services[name] = service
	}
	return &shortened
}

// PlatformAddress returns the address of the fake platform.
func (site *Site) PlatformAddress() string {
	return site.platformAddress
}
