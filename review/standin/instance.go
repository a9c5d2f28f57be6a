package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Ports of an instance, as offsets to the first port of the day. They are the same at all addresses.
const (
	portCallers = iota
	portReady
	portControl
	portDirectory
	portPeers
	portStore
	portTargets
	portCount
)

// instance is one process of the project.
type instance struct {
	name, zone, ip string
	deployment     *deployment
	settings       string

	mutex   sync.Mutex
	process *exec.Cmd
	stopped bool
}

// deployment is a small deployment: one store, some targets and instances.
type deployment struct {
	folder    string
	binary    string
	firstPort int
	store     *store
	targets   []*target
	instances []*instance
	zones     []string
}

func (deployment *deployment) port(offset int) int {
	return deployment.firstPort + offset
}

// newDeployment starts a store and as many instances as there are zones, and waits for nothing.
func newDeployment(binary string, zones []string) *deployment {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	deployment := &deployment{folder: folder, binary: binary, store: newStore(), zones: zones}
	deployment.firstPort = freePorts(len(zones))
	open.Store(deployment)
	deployment.store.listen(deployment.storeAddress())
	for index, zone := range zones {
		deployment.instances = append(deployment.instances, &instance{
			name: fmt.Sprintf("front-%s-1", zone), zone: zone, ip: fmt.Sprintf("127.0.%d.34", index+1), deployment: deployment,
			settings: filepath.Join(folder, fmt.Sprintf("settings-%d.json", index)),
		})
	}
	return deployment
}

func (deployment *deployment) storeAddress() string {
	return fmt.Sprintf("127.0.200.7:%d", deployment.port(portStore))
}

// addTarget starts a target and writes its entry.
func (deployment *deployment) addTarget(target *target) {
	target.address = fmt.Sprintf("127.0.64.%d:%d", len(deployment.targets)+11, deployment.port(portTargets))
	target.born = time.Now().UnixMilli() - 60000
	target.listen()
	deployment.targets = append(deployment.targets, target)
	deployment.store.put("servers/"+target.id, target.entry("ready"))
}

// freePorts returns the first of several adjacent ports that are free at all addresses.
func freePorts(instances int) int {
	ips := []string{"127.0.200.7", "127.0.64.11"}
	for index := range instances {
		ips = append(ips, fmt.Sprintf("127.0.%d.34", index+1))
	}
	for range 100 {
		if first := 21000 + 10*rand.IntN(900); portsFree(ips, first) {
			return first
		}
	}
	fail("no free ports")
	return 0
}

func portsFree(ips []string, first int) bool {
	for _, ip := range ips {
		for offset := range portCount {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(first+offset)))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

// writeSettings writes what the template of the deploy file gives for the instance.
func (instance *instance) writeSettings(bootstrap bool) {
	deployment := instance.deployment
	address := func(offset int) string { return net.JoinHostPort(instance.ip, strconv.Itoa(deployment.port(offset))) }
	regions := map[string]string{}
	var seeds []string
	for index, zone := range deployment.zones {
		regions[zone] = "sofia"
		if index < 3 {
			seeds = append(seeds, net.JoinHostPort(deployment.instances[index].ip, strconv.Itoa(deployment.port(portControl))))
		}
	}
	text, err := json.MarshalIndent(map[string]any{
		"instance": instance.name, "dataCentre": instance.zone, "region": "sofia", "regions": regions,
		"callerAddress": address(portCallers), "readyAddress": address(portReady), "directoryAddress": address(portDirectory),
		"operatorAddress": address(portControl), "peerAddress": address(portPeers), "seeds": seeds, "storeAddress": deployment.storeAddress(),
		"cores": "0.32", "linkMegabits": "1000.0", "descriptorsMost": "4100", "pipelinedMost": 16, "fleetStarts": strconv.FormatBool(bootstrap),
		"bounds": map[string]any{
			"leaveMost": "6s", "answerKeptMost": "5s", "retryShare": "0.2", "retrySlack": "62", "probesPerSecond": "60",
			"quotaWindow": "s", "quotaOver": "", "quotaSlack": "", "failClosed": "", "revokeWithin": "s",
		},
	}, "", "  ")
	if err == nil {
		err = os.WriteFile(instance.settings, text, 0o600)
	}
	if err != nil {
		fail("settings: %v", err)
	}
}

// start starts the process, and starts it again after half a second whenever it ends.
func (instance *instance) start() {
	instance.writeSettings(true)
	go func() {
		for {
			if !instance.runOnce() {
				return
			}
			time.Sleep(500 * time.Millisecond)
			instance.writeSettings(false)
		}
	}()
}

func (instance *instance) runOnce() bool {
	command := exec.Command(instance.deployment.binary, "gateway")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "JAYWHEEL_SETTINGS=" + instance.settings}
	log, err := os.OpenFile(filepath.Join(instance.deployment.folder, instance.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	defer log.Close()
	command.Stdout, command.Stderr = log, log
	command.Dir = filepath.Dir(filepath.Dir(instance.deployment.binary))
	instance.mutex.Lock()
	if instance.stopped {
		instance.mutex.Unlock()
		return false
	}
	if err := command.Start(); err != nil {
		fail("start: %v", err)
	}
	instance.process = command
	instance.mutex.Unlock()
	record("start", instance.name, "pid", strconv.Itoa(command.Process.Pid))
	err = command.Wait()
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	instance.process = nil
	if instance.stopped {
		return false
	}
	record("end", instance.name, fmt.Sprint(err))
	return true
}

// pid returns the number of the running process, or 0.
func (instance *instance) pid() int {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	if instance.process == nil {
		return 0
	}
	return instance.process.Process.Pid
}

// signal sends a signal to the running process.
func (instance *instance) signal(signal os.Signal) {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	if instance.process != nil {
		_ = instance.process.Process.Signal(signal)
	}
}

func (instance *instance) stop() {
	instance.mutex.Lock()
	instance.stopped = true
	process := instance.process
	instance.mutex.Unlock()
	if process != nil {
		_ = process.Process.Kill()
	}
}

// memory returns the resident memory of the process in bytes.
func (instance *instance) memory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", instance.pid()))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

func (instance *instance) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/jaywheel/readiness", instance.ip, instance.deployment.port(portReady)))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// open is the deployment in use, whose processes are ended if the case can't run.
var open atomic.Pointer[deployment]

// startAll starts all instances and waits until they are ready, at most 20 s.
func (deployment *deployment) startAll() {
	for _, instance := range deployment.instances {
		instance.start()
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, instance := range deployment.instances {
		for !instance.ready() {
			if time.Now().After(deadline) {
				deployment.close()
				fail("%s isn't ready", instance.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// close ends all processes and removes the folder.
func (deployment *deployment) close() {
	for _, instance := range deployment.instances {
		instance.stop()
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployment.folder)
	}
}

// configuration returns a configuration with the given routes and services.
func configuration(version int, routes []map[string]any, services ...string) map[string]any {
	resources := []any{}
	for index, route := range routes {
		resources = append(resources, map[string]any{"resource_type": "routes", "metadata": map[string]any{"name": fmt.Sprintf("r-%d", index)}, "spec": route})
	}
	for _, name := range services {
		resources = append(resources, map[string]any{"resource_type": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"health_check_path": "/health", "max_connections": 260, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 19.0,
		}})
	}
	resources = append(resources, map[string]any{"resource_type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15,
	}})
	return map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources}
}

func route(prefix, kind, service string, timeout float64) map[string]any {
	return map[string]any{
		"host": host, "prefix": prefix, "type": kind, "timeout_s": timeout, "aim_s": 0.3, "priority": 1, "service": service, "max_attempts": 2,
	}
}

const host = "book.example"
