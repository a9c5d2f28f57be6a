//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["encoded-slash"] = playEncodedSlash
}

const (
	// claimClients is the number of clients, and claims that of the requests that each of them sends, one after the other: 60 a second in
	// all, for less than 4 s, the longest that the site's disruption lasts.
	claimClients = 3
	claims       = 75
	// loseEach is how many runs a target that loses answers has for each one that it loses: a quarter.
	loseEach = 4
	// workTime is how long a target works on a request. It is always the same, so that no request is slow.
	workTime = 40 * time.Millisecond
)

// loser runs requests and loses some answers.
type loser struct {
	env *env
	// loses is whether the target is among the half that lose answers.
	loses bool

	mutex sync.Mutex
	runs  int
}

// serve runs a request. It resets the connection in place of an answer that is lost.
func (loser *loser) serve(connection *targetConnection, request *http.Request) bool {
	_, _ = io.Copy(io.Discard, request.Body)
	connection.target.ran(request)
	time.Sleep(workTime)
	loser.mutex.Lock()
	loser.runs++
	lost := loser.env.trouble && loser.loses && loser.runs%loseEach == 0
	loser.mutex.Unlock()
	loser.env.note("%s: %s has run %s %s, answer lost: %t", attemptID(request), connection.target.id, request.Method, request.RequestURI, lost)
	if lost {
		if socket, isTCP := connection.Conn.(*net.TCPConn); isTCP {
			_ = socket.SetLinger(0)
		}
		return false
	}
	connection.success(request, "booked")
	return true
}

// playEncodedSlash sends requests whose path has an encoded slash, while a target loses answers. The longest prefix that begins such a path
// is that of the unsafe route.
func playEncodedSlash(env *env) error {
	store, err := startStore()
	if err != nil {
		return err
	}
	var targets []*target
	for number, id := range []string{"i-desk-1", "i-desk-2"} {
		loser := &loser{env: env, loses: number == 0}
		target, err := startTarget(id, loser.serve)
		if err != nil {
			return err
		}
		targets = append(targets, target)
		store.put("servers/"+target.id, target.entry("member-desk", "sk-west-a"))
	}
	store.put("op/config", configuration(1,
		route("claim", "/claim/", "unsafe", "member-desk", 3), route("look", "/claim/look/", "safe", "member-desk", 2.5), service("member-desk")))
	instance, err := startInstance(env, "entry-1", "sk-west-a", store)
	if err != nil {
		return err
	}
	defer instance.stop()
	time.Sleep(time.Second)
	var group sync.WaitGroup
	for client := range claimClients {
		group.Go(func() {
			for number := range claims {
				sendClaim(env, instance, targets, fmt.Sprintf("claim%d%010d", client, number), number)
			}
		})
	}
	group.Wait()
	return nil
}

// sendClaim sends a request whose path begins with the prefix of the unsafe route, and not with that of the safe one.
func sendClaim(env *env, instance *instance, targets []*target, id string, number int) {
	path := fmt.Sprintf("/claim/look%%2F%d", number)
	if !strings.HasPrefix(path, "/claim/") || strings.HasPrefix(path, "/claim/look/") {
		panic("the path is not one of the unsafe route")
	}
	answer, err := post(instance.caller, path, id, "seat 7")
	if err != nil {
		env.note("%s: %v", id, err)
		return
	}
	checkBooking(env, id, answer.StatusCode, targets)
}
