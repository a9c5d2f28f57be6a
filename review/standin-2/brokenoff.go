//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["broken-off"] = playBrokenOff
}

const (
	// batches is the number of uploads in flight, each with a target of its own.
	batches = 6
	// batchBytes and batchWork are the longest upload of the site and the longest work on one.
	batchBytes = 360_000
	batchWork  = 1600 * time.Millisecond
	// batchHead is what a target reads before it works.
	batchHead = 3000
	// batchTimeout is timeout_s of the route and the clients' deadline, as on the site.
	batchTimeout = 3 * time.Second
	// beforeTerm is how long before SIGTERM the uploads are sent.
	beforeTerm = 200 * time.Millisecond
)

// playBrokenOff stops an instance while targets work on uploads that they have not read to their end.
func playBrokenOff(env *env) error {
	store, err := startStore()
	if err != nil {
		return err
	}
	for number := range batches {
		target, err := startTarget(fmt.Sprintf("i-desk-%d", number), func(connection *targetConnection, request *http.Request) bool {
			return serveBatch(env, connection, request)
		})
		if err != nil {
			return err
		}
		store.put("servers/"+target.id, target.entry("client-desk", "sk-west-a"))
	}
	store.put("op/config", configuration(1, route("sheet", "/sheet/", "upload", "client-desk", batchTimeout.Seconds()), service("client-desk")))
	instance, err := startInstance(env, "entry-1", "sk-west-a", store)
	if err != nil {
		return err
	}
	defer instance.stop()
	// The instance has been in touch for contact_s.
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	for number := range batches {
		group.Go(func() { sendBatch(env, instance.caller, fmt.Sprintf("batch%011d", number)) })
	}
	time.Sleep(beforeTerm)
	if env.trouble {
		instance.signal(syscall.SIGTERM)
	}
	group.Wait()
	return nil
}

// serveBatch reads the beginning of an upload, works on it, reads the rest and answers.
func serveBatch(env *env, connection *targetConnection, request *http.Request) bool {
	id, target := attemptID(request), connection.target
	connection.target.ran(request)
	env.note("%s: %s begins to work on it", id, target.id)
	_, _ = io.CopyN(io.Discard, request.Body, batchHead)
	time.Sleep(batchWork)
	read, err := io.Copy(io.Discard, request.Body)
	env.note("%s: %s has worked on it and has read another %d bytes, end: %v", id, target.id, read, err)
	if err != nil {
		return false
	}
	connection.success(request, "taken")
	env.note("%s: %s has answered it", id, target.id)
	return true
}

// sendBatch sends an upload. If the client gets an answer without a target's signature although a target is at work, well before the deadline,
// the gateway has broken the request off.
func sendBatch(env *env, address, id string) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		env.note("%s: %v", id, err)
		return
	}
	defer connection.Close()
	started := time.Now()
	_, _ = fmt.Fprintf(connection, "POST /sheet/%s HTTP/1.1\r\nHost: %s\r\nX-Jaywheel-Attempt-Id: %s\r\nX-Jaywheel-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, hostName, id, batchTimeout.Milliseconds(), batchBytes, strings.Repeat("x", batchBytes))
	env.note("%s: sent whole", id)
	_ = connection.SetReadDeadline(started.Add(batchTimeout))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	took := time.Since(started)
	if err != nil {
		env.note("%s: after %.3f s: no answer, %v", id, took.Seconds(), err)
		if env.trouble && took < batchTimeout {
			env.violation("LOST: the connection of %s ended without an answer after %.3f s", id, took.Seconds())
		}
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	own := response.Header.Get("X-Jaywheel-Response-Signature") == ""
	env.note("%s: after %.3f s: answered %d, by the gateway: %t", id, took.Seconds(), response.StatusCode, own)
	// Without SIGTERM, no rule counts it.
	if own && env.trouble {
		env.violation("LOST: %s was broken off after %.3f s and answered %d, while its target was at work", id, took.Seconds(), response.StatusCode)
	}
}
