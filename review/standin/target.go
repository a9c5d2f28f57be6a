package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is a stand-in for a backend server.
type target struct {
	id, service, zone, address string
	born                       int64
	slots                      int
	// work is how long a request takes.
	work time.Duration
	// behave replaces the sound behaviour for a request that has been read; it returns false if the sound one applies.
	behave func(exchange *exchange) bool

	mutex    sync.Mutex
	running  int
	listener net.Listener
}

// exchange is one request that a target has read.
type exchange struct {
	target     *target
	connection net.Conn
	// late is what the target sends before its next answer on the connection.
	late    *[]byte
	request *http.Request
	body    []byte
	id      string
}

func (target *target) listen() {
	listener, err := net.Listen("tcp", target.address)
	if err != nil {
		fail("target: %v", err)
	}
	target.listener = listener
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(connection)
		}
	}()
}

// entry is what the target writes to the store.
func (target *target) entry(state string) map[string]any {
	return map[string]any{
		"address": target.address, "born": target.born,
		"info":   map[string]any{"service": target.service, "zone": target.zone, "slots": target.slots, "version": "v1"},
		"status": map[string]any{"state": state, "sequence": 1, "warmup_left_s": 0},
	}
}

func (target *target) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		exchange := &exchange{
			target: target, connection: connection, late: &late, request: request, body: body, id: request.Header.Get("X-Jaywheel-Attempt-Id"),
		}
		if len(late) > 0 {
			if _, err := connection.Write(late); err != nil {
				return
			}
			late = nil
		}
		if !exchange.handle() {
			return
		}
	}
}

// handle answers the request, and reports whether the connection is kept.
func (exchange *exchange) handle() bool {
	target := exchange.target
	if exchange.request.URL.Path == "/health" {
		return exchange.write(http.StatusOK, map[string]string{"X-Jaywheel-Instance-Id": target.id, "X-Jaywheel-Server-Load": target.load()}, nil)
	}
	if expected := exchange.request.Header.Get("X-Jaywheel-Expected-Instance"); expected != "" && expected != target.id {
		return exchange.write(http.StatusMisdirectedRequest, map[string]string{"X-Jaywheel-Attempt-Id": exchange.id, "X-Jaywheel-Instance-Id": target.id}, nil)
	}
	if target.behave != nil && target.behave(exchange) {
		return exchange.connection != nil
	}
	exchange.run()
	return exchange.answer()
}

func (target *target) load() string {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return fmt.Sprintf("%d,0,%d,100", target.running, target.slots)
}

// run works on the request.
func (exchange *exchange) run() {
	target := exchange.target
	record("run", exchange.id, target.id, "from "+exchange.connection.RemoteAddr().String())
	target.mutex.Lock()
	target.running++
	target.mutex.Unlock()
	time.Sleep(target.work)
	target.mutex.Lock()
	target.running--
	target.mutex.Unlock()
}

// answer sends the answer of a request that has run.
func (exchange *exchange) answer() bool {
	return exchange.write(http.StatusOK, map[string]string{
		"X-Jaywheel-Attempt-Id": exchange.id, "X-Jaywheel-Response-Signature": "signed-by-" + exchange.target.id + "-" + exchange.id,
		"X-Jaywheel-Server-Load": exchange.target.load(),
	}, bodyOf(exchange.id))
}

// bodyOf is the body of the answer to a request.
func bodyOf(id string) []byte {
	return bytes.Repeat([]byte("answer to "+id+"\n"), 8)
}

// reject returns the answer that the request is not run.
func (exchange *exchange) rejection() []byte {
	return response(http.StatusServiceUnavailable, map[string]string{
		"X-Jaywheel-Attempt-Id": exchange.id, "X-Jaywheel-Not-Executed": "1", "X-Jaywheel-Server-Load": exchange.target.load(),
	}, nil)
}

func (exchange *exchange) write(status int, header map[string]string, body []byte) bool {
	_, err := exchange.connection.Write(response(status, header, body))
	return err == nil
}

func response(status int, header map[string]string, body []byte) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	text.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	text.Write(body)
	return text.Bytes()
}
