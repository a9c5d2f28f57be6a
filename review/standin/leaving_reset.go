package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Parameters of leavingReset. Answers are as long as those of the downloads of a small deployment.
const (
	meanDownload  = 90000
	maxDownload   = 540000
	downloadsSent = 5
	sendGap       = 30 * time.Millisecond
	deadlineMs    = 1200
)

// leavingReset: clients keep their connections. Each first sends a payment whose body comes in chunks, and then downloads, of which it
// sends some before the first is answered. The instances are stopped in turn with SIGTERM, and started again.
func leavingReset(binary string, trouble bool) (bool, string) {
	const (
		playFor = 50 * time.Second
		workers = 60
	)
	deployment := newDeployment(binary, []string{"sofia-a", "sofia-b", "sofia-c"})
	defer deployment.close()
	runs := &runCounter{runs: map[string][]string{}}
	for index := range 12 {
		name, work := "library", 72*time.Millisecond
		if index%3 == 0 {
			name, work = "desk", 60*time.Millisecond
		}
		server := &target{id: fmt.Sprintf("i-%08x", 0x8a0+index), service: name, zone: deployment.zones[index%3], slots: 6, work: work}
		server.behave = func(exchange *exchange) bool {
			runs.add(exchange.id, server.id)
			if exchange.request.Method == http.MethodPost {
				return false
			}
			exchange.run()
			size := min(int(rand.ExpFloat64()*meanDownload)+1000, maxDownload)
			exchange.write(http.StatusOK, map[string]string{
				"X-Jaywheel-Attempt-Id": exchange.id, "X-Jaywheel-Response-Signature": "signed-by-" + server.id + "-" + exchange.id,
				"X-Jaywheel-Server-Load": server.load(),
			}, bytes.Repeat([]byte(exchange.id), size/len(exchange.id)))
			return true
		}
		deployment.addTarget(server)
	}
	deployment.store.put("op/config", configuration(5, []map[string]any{
		route("/fetch/", "download", "library", 1.2), route("/pay/", "unsafe", "desk", 0.8),
	}, "library", "desk"))
	deployment.startAll()
	time.Sleep(3 * time.Second)
	end := time.Now().Add(playFor)
	callers := &pipeliningClients{deployment: deployment, runs: runs, end: end}
	var group sync.WaitGroup
	for index := range workers {
		resolver := newClient(deployment, deployment.zones[index%3])
		group.Go(func() { callers.work(resolver) })
	}
	if trouble {
		for step := 0; time.Now().Before(end.Add(-8 * time.Second)); step++ {
			time.Sleep(4 * time.Second)
			stopped := deployment.instances[step%3]
			record("SIGTERM", stopped.name)
			callers.stopped.Store(fmt.Sprintf("%s:%d", stopped.ip, deployment.port(portCallers)), time.Now())
			stopped.signal(syscall.SIGTERM)
			time.Sleep(4 * time.Second)
		}
	}
	group.Wait()
	return callers.lost.Load() > 0, fmt.Sprintf("%d downloads answered, %d passed on to a target whose connection ended without a complete answer (the first of those on the connection that were not answered)",
		callers.answered.Load(), callers.lost.Load())
}

type pipeliningClients struct {
	deployment *deployment
	runs       *runCounter
	end        time.Time
	// stopped is when the instance at an address last got SIGTERM.
	stopped        sync.Map
	answered, lost atomic.Int64
}

// work keeps a connection for many requests, and opens another when it ends.
func (callers *pipeliningClients) work(resolver *client) {
	for time.Now().Before(callers.end) {
		addresses := resolver.resolve()
		if len(addresses) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		address := addresses[rand.IntN(len(addresses))]
		connection, err := dialSmallWindow(address)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		kept := &keptConnection{callers: callers, connection: connection, reader: bufio.NewReader(&linkReader{Conn: connection}), address: address, chunks: rand.IntN(2) == 0}
		for open := kept.pay(); open && time.Now().Before(callers.end) && slices.Contains(resolver.resolve(), address); open = kept.download() {
			time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
		}
		connection.Close()
		time.Sleep(20 * time.Millisecond)
	}
}

// windowBytes is the receive window of a client: links have small windows.
const windowBytes = 32 << 10

func dialSmallWindow(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
	}}
	return dialer.Dial("tcp", address)
}

type keptConnection struct {
	callers    *pipeliningClients
	connection net.Conn
	reader     *bufio.Reader
	address    string
	// chunks is whether the body of the payment comes in chunks.
	chunks bool
}

// linkReader reads from a connection no faster than a link with a small window does: one window in each round trip.
type linkReader struct {
	net.Conn
	left int
}

// roundTrip is twice the delay to clients.
const roundTrip = 16 * time.Millisecond

// Read implements io.Reader.
func (reader *linkReader) Read(buffer []byte) (int, error) {
	if reader.left <= 0 {
		time.Sleep(roundTrip)
		reader.left = windowBytes
	}
	count, err := reader.Conn.Read(buffer[:min(len(buffer), reader.left)])
	reader.left -= count
	return count, err
}

// pay sends a payment with a body in chunks, and reports whether the connection is kept.
func (kept *keptConnection) pay() bool {
	id := newID()
	body := "Content-Length: 7\r\n\r\none fee"
	if kept.chunks {
		body = "Transfer-Encoding: chunked\r\n\r\n7\r\none fee\r\n0\r\n\r\n"
	}
	record("sent", id, "POST /pay/"+id, "to", kept.address, fmt.Sprintf("in chunks: %t", kept.chunks))
	text := fmt.Sprintf("POST /pay/%s HTTP/1.1\r\nHost: %s\r\nX-Jaywheel-Attempt-Id: %s\r\nX-Jaywheel-Deadline-Ms: %d\r\n%s", id, host, id, deadlineMs, body)
	if _, err := kept.connection.Write([]byte(text)); err != nil {
		return false
	}
	return kept.readAnswer(id) == nil
}

var errClosing = fmt.Errorf("the answer closes the connection")

// readAnswer reads an answer. The error is errClosing if it is complete and the last of its connection.
func (kept *keptConnection) readAnswer(id string) error {
	_ = kept.connection.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := http.ReadResponse(kept.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		record("answer", id, "none:", err.Error())
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		record("answer", id, strconv.Itoa(response.StatusCode), fmt.Sprintf("cut after %d of %d bytes:", len(body), response.ContentLength), err.Error())
		return err
	}
	record("answer", id, strconv.Itoa(response.StatusCode), fmt.Sprintf("%d bytes, last of its connection: %t", len(body), response.Close))
	if response.Close {
		return errClosing
	}
	return nil
}

// download sends some downloads, one shortly after the other, and reads their answers. It reports whether the connection is kept.
func (kept *keptConnection) download() bool {
	var ids []string
	for range downloadsSent {
		ids = append(ids, newID())
	}
	sent := time.Now()
	go func() {
		for _, id := range ids {
			record("sent", id, "GET /fetch/"+id, "to", kept.address)
			_, err := fmt.Fprintf(kept.connection, "GET /fetch/%s HTTP/1.1\r\nHost: %s\r\nX-Jaywheel-Attempt-Id: %s\r\nX-Jaywheel-Deadline-Ms: %d\r\n\r\n", id, host, id, deadlineMs)
			if err != nil {
				return
			}
			time.Sleep(sendGap)
		}
	}()
	for _, id := range ids {
		switch err := kept.readAnswer(id); err {
		case nil:
			kept.callers.answered.Add(1)
		case errClosing:
			kept.callers.answered.Add(1)
			return false
		default:
			// Those behind were not passed on, or may not have been; only the request whose turn it was counts, and only before its
			// deadline.
			if kept.callers.runs.ran(id) && kept.callers.leaving(kept.address) && time.Since(sent) < deadlineMs*time.Millisecond*9/10 {
				kept.callers.lost.Add(1)
				record("LOST", id, "sent to "+kept.address, fmt.Sprintf("after chunks: %t", kept.chunks))
			}
			return false
		}
	}
	return true
}

// leaving reports whether the instance at the address got SIGTERM at most grace_s + 1 s ago.
func (callers *pipeliningClients) leaving(address string) bool {
	at, found := callers.stopped.Load(address)
	return found && time.Since(at.(time.Time)) < 7*time.Second
}

func (counter *runCounter) ran(id string) bool {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	return len(counter.runs[id]) > 0
}
