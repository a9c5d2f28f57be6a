//go:build review2

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// instance is one process of the program.
type instance struct {
	env                                      *env
	name                                     string
	caller, ready, directory, operator, peer string
	command                                  *exec.Cmd
	exited                                   chan struct{}
	path                                     string
	log                                      *os.File
}

// freeAddresses returns different addresses on loopback that nothing listens on.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// All are held until the last is known, so that none comes twice.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// maxStarts is how often an instance is started: another process may take one of its addresses first.
const maxStarts = 3

// startInstance starts an instance and waits until it is ready.
func startInstance(env *env, name, zone string, store *store) (*instance, error) {
	for start := 1; ; start++ {
		made, err := newInstance(env, name, zone, store)
		if err != nil {
			return nil, err
		}
		if err := made.start(); err != nil {
			return nil, err
		}
		if err = made.awaitReady(); err == nil {
			return made, nil
		}
		made.stop()
		if start == maxStarts {
			return nil, err
		}
		env.note("%s: %v, starting it with other addresses", name, err)
	}
}

// newInstance writes the settings of an instance, as the template in deploy/ renders them for a small deployment.
func newInstance(env *env, name, zone string, store *store) (*instance, error) {
	made := &instance{env: env, name: name, path: filepath.Join(env.temp, name+".json")}
	addresses := []*string{&made.caller, &made.ready, &made.directory, &made.operator, &made.peer}
	free, err := freeAddresses(len(addresses))
	if err != nil {
		return nil, err
	}
	for index, address := range addresses {
		*address = free[index]
	}
	settings := map[string]any{
		"instance": name, "dataCentre": zone, "region": "sk-west",
		"regions":       map[string]string{"sk-west-a": "sk-west", "sk-west-b": "sk-west", "sk-west-c": "sk-west"},
		"callerAddress": made.caller, "readyAddress": made.ready, "directoryAddress": made.directory, "operatorAddress": made.operator,
		"peerAddress": made.peer, "seeds": []string{made.operator}, "storeAddress": store.address, "cores": "0.32", "linkMegabits": "1000.0",
		"descriptorsMost": "4100", "pipelinedMost": 16, "fleetStarts": "true",
		"bounds": map[string]any{
			"leaveMost": "6s", "answerKeptMost": "5s", "retryShare": "0.2", "retrySlack": "58", "probesPerSecond": "60",
			"quotaWindow": "s", "quotaOver": "", "quotaSlack": "", "failClosed": "", "revokeWithin": "s",
		},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	return made, os.WriteFile(made.path, text, 0o600)
}

// start starts the process with the command of the deploy file.
func (instance *instance) start() error {
	log, err := os.OpenFile(instance.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	instance.log = log
	instance.command = exec.Command("target/jaywheel", "gateway")
	instance.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + instance.env.temp, "LANG=C.UTF-8", "JAYWHEEL_SETTINGS=" + instance.path}
	instance.command.Stdout, instance.command.Stderr = log, log
	instance.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := instance.command.Start(); err != nil {
		return err
	}
	instance.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(instance.command, instance.exited)
	instance.env.note("%s started", instance.name)
	return nil
}

// stop ends the process.
func (instance *instance) stop() {
	if instance.command == nil || instance.command.Process == nil {
		return
	}
	_ = instance.command.Process.Kill()
	<-instance.exited
	_ = instance.log.Close()
	if folder := os.Getenv("KEEP_LOGS"); folder != "" {
		text, _ := os.ReadFile(instance.path + ".log")
		_ = os.WriteFile(filepath.Join(folder, instance.name+".log"), text, 0o600)
	}
}

// signal sends a signal to the process.
func (instance *instance) signal(signal syscall.Signal) {
	_ = instance.command.Process.Signal(signal)
	instance.env.note("%s got %s", instance.name, signal)
}

// running reports whether the process has not ended.
func (instance *instance) running() bool {
	select {
	case <-instance.exited:
		return false
	default:
		return true
	}
}

var errNotReady = errors.New("not ready in time")

// awaitReady waits until the readiness check answers 200.
func (instance *instance) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + instance.ready + "/jaywheel/readiness")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			instance.env.note("%s is ready", instance.name)
			return nil
		}
	}
	return fmt.Errorf("%s: %w", instance.name, errNotReady)
}
