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
	"time"
)

func init() {
	cases["cut-copy"] = playCutCopy
}

const (
	// bookingClients is the number of clients, each of which sends one request after the other for bookingTime, the longest that the site's
	// disruption lasts, with a pause in between.
	bookingClients = 6
	bookingTime    = 5 * time.Second
	bookingPause   = 10 * time.Millisecond
	// refuseEach is how many requests a target gets for each one that it refuses because it is full. The copies that one of the two targets
	// sends of these answers are fewer than 3 of 100 of its answers, the highest share in the site files.
	refuseEach = 34
)

// copier is a target's state.
type copier struct {
	env *env
	// copies is whether the target sends late copies of its refusals.
	copies bool

	mutex    sync.Mutex
	requests int
}

// playCutCopy lets a target that has refused a request send a second copy of that answer late, where the next answer on the connection is
// expected, and break it off within its head.
func playCutCopy(env *env) error {
	store, err := startStore()
	if err != nil {
		return err
	}
	var targets []*target
	for number, id := range []string{"i-desk-1", "i-desk-2"} {
		copier := &copier{env: env, copies: env.trouble && number == 0}
		target, err := startTarget(id, copier.serve)
		if err != nil {
			return err
		}
		targets = append(targets, target)
		store.put("servers/"+target.id, target.entry("member-desk", "sk-west-a"))
	}
	store.put("op/config", configuration(1, route("claim", "/claim/", "unsafe", "member-desk", 3), service("member-desk")))
	instance, err := startInstance(env, "entry-1", "sk-west-a", store)
	if err != nil {
		return err
	}
	defer instance.stop()
	time.Sleep(time.Second)
	var group sync.WaitGroup
	until := time.Now().Add(bookingTime)
	for client := range bookingClients {
		group.Go(func() {
			for number := 0; time.Now().Before(until); number++ {
				sendBooking(env, instance, targets, fmt.Sprintf("claim%d%010d", client, number))
			}
		})
	}
	group.Wait()
	return nil
}

func sendBooking(env *env, instance *instance, targets []*target, id string) {
	answer, err := post(instance.caller, "/claim/"+id, id, "seat 7")
	if err != nil {
		env.note("%s: %v", id, err)
		return
	}
	checkBooking(env, id, answer.StatusCode, targets)
	time.Sleep(bookingPause)
}

// checkBooking checks how often a request has run that is not idempotent, and what its client was told.
func checkBooking(env *env, id string, status int, targets []*target) {
	runs := 0
	for _, target := range targets {
		runs += target.runsOf(id)
	}
	env.note("%s: answered %d, has run %d times", id, status, runs)
	if runs > 1 {
		env.violation("TWICE: %s has run %d times", id, runs)
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 {
			env.violation("REFUSED: %s was answered %d and has run", id, status)
		}
	}
}

// serve refuses or runs a request.
func (copier *copier) serve(connection *targetConnection, request *http.Request) bool {
	_, _ = io.Copy(io.Discard, request.Body)
	id, late := attemptID(request), connection.late
	connection.late = ""
	if late != "" {
		_, _ = io.WriteString(connection, late)
	}
	copier.mutex.Lock()
	copier.requests++
	full, odd := copier.requests%refuseEach == 0, copier.requests/refuseEach%2 == 1
	copier.mutex.Unlock()
	if !full {
		connection.target.ran(request)
		copier.env.note("%s: %s has run it; sent before its answer: %q", id, connection.target.id, late)
		connection.success(request, "booked")
		return true
	}
	refusal := answerText(http.StatusServiceUnavailable, "X-Jaywheel-Not-Executed: 1", "", loadHeader, "X-Jaywheel-Attempt-Id: "+id)
	copier.env.note("%s: %s is full and has refused it; sent before its answer: %q", id, connection.target.id, late)
	_, _ = io.WriteString(connection, refusal)
	if copier.copies {
		connection.late = cut(refusal, odd)
	}
	return true
}

// cut returns the beginning of a refusal, up to the end of its first line or of its first header.
func cut(refusal string, short bool) string {
	line, rest, _ := strings.Cut(refusal, "\r\n")
	if short {
		return line
	}
	header, _, _ := strings.Cut(rest, "\r\n")
	return line + "\r\n" + header
}

// post sends a request on a new connection and returns its answer, whose body has been read.
func post(address, path, id, body string) (*http.Response, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Jaywheel-Attempt-Id: %s\r\nX-Jaywheel-Deadline-Ms: 3000\r\n"+
		"Content-Length: %d\r\n\r\n%s", path, hostName, id, len(body), body)
	if err != nil {
		return nil, err
	}
	_ = connection.SetReadDeadline(time.Now().Add(4 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}
