//go:build review2

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// target is a stand-in of a target. Its connections are served as raw TCP, so that a case may send any bytes.
type target struct {
	id, address string
	// serve handles a request other than a health check, after its head has been read. It returns false to close the connection.
	serve func(connection *targetConnection, request *http.Request) bool

	mutex sync.Mutex
	runs  map[string]int
}

type targetConnection struct {
	net.Conn

	target *target
	reader *bufio.Reader
	// served is the number of requests that the connection has carried, health checks included.
	served int
	// late is sent before the next answer.
	late string
}

func startTarget(id string, serve func(*targetConnection, *http.Request) bool) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	target := &target{id: id, address: listener.Addr().String(), serve: serve, runs: map[string]int{}}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serveConnection(&targetConnection{Conn: connection, target: target, reader: bufio.NewReader(connection)})
		}
	}()
	return target, nil
}

func (target *target) serveConnection(connection *targetConnection) {
	defer connection.Close()
	for {
		request, err := http.ReadRequest(connection.reader)
		if err != nil {
			return
		}
		open := true
		expected := request.Header.Get("X-Jaywheel-Expected-Instance")
		switch {
		case request.URL.Path == "/health":
			connection.answer(http.StatusOK, "X-Jaywheel-Instance-Id: "+target.id, "", "X-Jaywheel-Server-Load: 0,0,4,100")
		case expected != "" && expected != target.id:
			connection.answer(http.StatusMisdirectedRequest, "X-Jaywheel-Attempt-Id: "+attemptID(request), "")
		default:
			open = target.serve(connection, request)
		}
		connection.served++
		if !open {
			return
		}
	}
}

func attemptID(request *http.Request) string {
	return request.Header.Get("X-Jaywheel-Attempt-Id")
}

// ran counts a run of the request.
func (target *target) ran(request *http.Request) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.runs[attemptID(request)]++
}

func (target *target) runsOf(id string) int {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.runs[id]
}

// answer writes a whole answer with the given first header.
func (connection *targetConnection) answer(status int, first, body string, others ...string) {
	_, _ = connection.Write([]byte(answerText(status, first, body, others...)))
}

func answerText(status int, first, body string, others ...string) string {
	headers := append([]string{first}, others...)
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\nContent-Length: %s\r\n\r\n%s",
		status, http.StatusText(status), strings.Join(headers, "\r\n"), strconv.Itoa(len(body)), body)
}

// success writes the answer to a request that has run.
func (connection *targetConnection) success(request *http.Request, body string) {
	connection.answer(http.StatusOK, "X-Jaywheel-Attempt-Id: "+attemptID(request), body, signatureOf(connection.target, request), loadHeader)
}

const loadHeader = "X-Jaywheel-Server-Load: 1,0,4,100"

func signatureOf(target *target, request *http.Request) string {
	return "X-Jaywheel-Response-Signature: " + target.id + "." + attemptID(request)
}

// entry returns the target's entry in the store.
func (target *target) entry(service, zone string) map[string]any {
	return map[string]any{
		"address": target.address, "born": 1765000000000,
		"info":   map[string]any{"service": service, "zone": zone, "slots": 4, "version": "v1"},
		"status": map[string]any{"state": "ready", "sequence": 1, "warmup_left_s": 0.0},
	}
}
