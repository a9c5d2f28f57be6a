package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// client is a stand-in for a client that keeps its connections open. It never sends a request again: each has an id of its own.
type client struct {
	deployment *deployment
	zone       string

	mutex     sync.Mutex
	addresses []string
	until     time.Time
	idle      map[string][]*clientConnection
}

// clientConnection is an open connection without a request.
type clientConnection struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time
}

// idleMost is how long a connection is idle before it is no longer used: four fifths of idle_timeout_s.
const idleMost = 12 * time.Second

func newClient(deployment *deployment, zone string) *client {
	return &client{deployment: deployment, zone: zone, idle: map[string][]*clientConnection{}}
}

// resolve asks the directories where to connect, the one of the own zone first, and keeps the answer for as long as it says.
func (client *client) resolve() []string {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if time.Now().Before(client.until) {
		return client.addresses
	}
	asking := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	instances := slices.Clone(client.deployment.instances)
	slices.SortStableFunc(instances, func(left, right *instance) int {
		return len(right.zoneIf(client.zone)) - len(left.zoneIf(client.zone))
	})
	for _, instance := range instances {
		url := fmt.Sprintf("http://%s:%d/jaywheel/resolve?name=%s&region=sofia&zone=%s", instance.ip, client.deployment.port(portDirectory), host, client.zone)
		response, err := asking.Get(url)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		client.addresses = answer.Addresses
		client.until = time.Now().Add(time.Duration(min(answer.TTL, 5) * float64(time.Second)))
		break
	}
	return client.addresses
}

// zoneIf returns the instance's zone if it is the given one, otherwise nothing.
func (instance *instance) zoneIf(zone string) string {
	if instance.zone != zone {
		return ""
	}
	return zone
}

// answer is what a client got for a request.
type answer struct {
	id, address string
	status      int
	header      http.Header
	body        []byte
	err         error
	sent, ended time.Time
	// kept is whether the request was sent on a connection that had carried another.
	kept bool
}

func newID() string {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

var errNoAddress = errors.New("no addresses")

// send sends one request, with its id in the path as well.
func (client *client) send(method, prefix string, body []byte, deadline time.Duration) answer {
	addresses := client.resolve()
	if len(addresses) == 0 {
		return answer{err: errNoAddress}
	}
	result := answer{id: newID(), address: addresses[mathrand.IntN(len(addresses))], sent: time.Now()}
	path := prefix + result.id
	record("sent", result.id, method+" "+path, "to "+result.address)
	result.err = client.exchange(&result, method, path, body, deadline)
	result.ended = time.Now()
	if result.err != nil {
		record("answer", result.id, "none:", result.err.Error())
	} else {
		record("answer", result.id, strconv.Itoa(result.status), "signature "+result.header.Get("X-Jaywheel-Response-Signature"))
	}
	return result
}

func (client *client) exchange(result *answer, method, path string, body []byte, deadline time.Duration) error {
	connection, err := client.connect(result)
	if err != nil {
		return err
	}
	_ = connection.SetDeadline(result.sent.Add(deadline))
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Jaywheel-Attempt-Id: %s\r\nX-Jaywheel-Deadline-Ms: %d\r\n", method, path, host, result.id, deadline.Milliseconds())
	if len(body) > 0 {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n")
	text.Write(body)
	if _, err := connection.Write(text.Bytes()); err != nil {
		connection.Close()
		return err
	}
	response, err := http.ReadResponse(connection.reader, &http.Request{Method: method})
	if err == nil {
		result.status, result.header = response.StatusCode, response.Header
		result.body, err = io.ReadAll(response.Body)
	}
	if err != nil || response.Close {
		connection.Close()
		return err
	}
	connection.since = time.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.idle[result.address] = append(client.idle[result.address], connection)
	return nil
}

// connect returns an idle connection, or a new one.
func (client *client) connect(result *answer) (*clientConnection, error) {
	client.mutex.Lock()
	for idle := client.idle[result.address]; len(idle) > 0; {
		connection := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		client.idle[result.address] = idle
		if time.Since(connection.since) < idleMost && !connection.ended() {
			client.mutex.Unlock()
			result.kept = true
			return connection, nil
		}
		connection.Close()
	}
	client.mutex.Unlock()
	connection, err := net.DialTimeout("tcp", result.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConnection{Conn: connection, reader: bufio.NewReader(connection)}, nil
}

// ended reports whether the other side has closed the idle connection.
func (connection *clientConnection) ended() bool {
	_ = connection.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	_, err := connection.reader.Peek(1)
	var netError net.Error
	return !errors.As(err, &netError) || !netError.Timeout()
}
