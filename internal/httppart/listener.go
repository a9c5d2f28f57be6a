package httppart

import (
	"bytes"
	"container/list"
	"expvar"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/headmemory"
	"github.com/jaywheel/jaywheel/internal/linger"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// maxStall is how long the peer of a closed connection may receive nothing.
const maxStall = 10 * clock.Second

// defaultMaxConnections is the number of open connections if ListenOptions.MaxConnections is 0.
const defaultMaxConnections = 1024

var (
	errHeadMemory = errors.New("the heads of requests take as much memory as they may")
	lineFeed      = []byte("\n")
)

// EventConnectionDisplaced counts connections that were closed because too many were open.
const EventConnectionDisplaced = "httppart.connectionDisplaced"

// ListenOptions configures the connections to a server whose requests have short heads and no bodies.
type ListenOptions struct {
	// Guard recovers panics on goroutines of the connections; nil lets them pass.
	Guard *supervisor.Guard
	// MaxConnections is the largest number of open connections; 0 means defaultMaxConnections. A further one displaces the one on which nothing
	// has been sent for the longest time, so that whoever comes is answered while others hold theirs open.
	MaxConnections int
	// Events counts EventConnectionDisplaced; it may be nil.
	Events *expvar.Map
	// HeadMemory is the memory that the heads of requests may take; nil means that it has no bound. A connection is closed beyond it.
	HeadMemory *headmemory.Budget
}

// NewListenFunc returns a function that listens on a TCP address. The connections are not reset before their peers have received what was
// sent, unless they are displaced.
func NewListenFunc(options ListenOptions) func(address string) (Listener, error) {
	if options.MaxConnections == 0 {
		options.MaxConnections = defaultMaxConnections
	}
	if options.HeadMemory == nil {
		options.HeadMemory = headmemory.NewBudget(0)
	}
	return func(address string) (Listener, error) {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return Listener{}, err
		}
		return Listener{Listener: lingeringListener{Listener: listener, options: options, open: &openConnections{}}}, nil
	}
}

type lingeringListener struct {
	net.Listener

	options ListenOptions
	open    *openConnections
}

// Accept implements net.Listener.
func (lingeringListener lingeringListener) Accept() (net.Conn, error) {
	accepted, err := lingeringListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection, isTCP := accepted.(*net.TCPConn)
	if !isTCP {
		return accepted, nil
	}
	lingering := &lingeringConnection{
		TCPConn: connection, guard: lingeringListener.options.Guard, open: lingeringListener.open, headMemory: lingeringListener.options.HeadMemory.NewShare(),
	}
	if lingering.open.add(lingering, lingeringListener.options.MaxConnections) && lingeringListener.options.Events != nil {
		lingeringListener.options.Events.Add(EventConnectionDisplaced, 1)
	}
	return lingering, nil
}

// openConnections are the open connections of a listener, ordered by when something was last sent on them.
type openConnections struct {
	mutex sync.Mutex
	order list.List
}

// add adds a connection, and closes the first one if there are more than most. It reports whether it has closed one.
func (openConnections *openConnections) add(added *lingeringConnection, most int) bool {
	openConnections.mutex.Lock()
	defer openConnections.mutex.Unlock()
	added.element = openConnections.order.PushBack(added)
	if openConnections.order.Len() <= most {
		return false
	}
	first := openConnections.order.Front()
	openConnections.order.Remove(first)
	// An error means that it is closed already.
	_ = first.Value.(*lingeringConnection).TCPConn.Close() //nolint:forcetypeassert // The list holds nothing else.
	return true
}

// moveBack records that something has been sent on a connection.
func (openConnections *openConnections) moveBack(connection *lingeringConnection) {
	openConnections.mutex.Lock()
	defer openConnections.mutex.Unlock()
	openConnections.order.MoveToBack(connection.element)
}

func (openConnections *openConnections) remove(connection *lingeringConnection) {
	openConnections.mutex.Lock()
	defer openConnections.mutex.Unlock()
	openConnections.order.Remove(connection.element)
}

type lingeringConnection struct {
	*net.TCPConn

	guard     *supervisor.Guard
	closeOnce sync.Once
	open      *openConnections
	element   *list.Element

	headMemory *headmemory.Share
	mutex      sync.Mutex
	// headBytes is the length of what has been received since something was last sent, headLines the number of its lines.
	headBytes, headLines int
}

// Read implements net.Conn.
func (lingeringConnection *lingeringConnection) Read(buffer []byte) (int, error) {
	count, err := lingeringConnection.TCPConn.Read(buffer)
	if count > 0 && !lingeringConnection.reserveHead(buffer[:count]) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadMemory}
	}
	return count, err
}

// reserveHead counts what has been received of a request. It reports false if that takes more memory than is left.
func (lingeringConnection *lingeringConnection) reserveHead(data []byte) bool {
	lingeringConnection.mutex.Lock()
	defer lingeringConnection.mutex.Unlock()
	lingeringConnection.headBytes += len(data)
	lingeringConnection.headLines += bytes.Count(data, lineFeed)
	return lingeringConnection.headMemory.ReserveHead(lingeringConnection.headBytes, lingeringConnection.headLines)
}

// Write implements net.Conn.
func (lingeringConnection *lingeringConnection) Write(data []byte) (int, error) {
	lingeringConnection.open.moveBack(lingeringConnection)
	lingeringConnection.mutex.Lock()
	lingeringConnection.headBytes, lingeringConnection.headLines = 0, 0
	lingeringConnection.headMemory.Release()
	lingeringConnection.mutex.Unlock()
	return lingeringConnection.TCPConn.Write(data)
}

// Close implements net.Conn. It returns before the peer has received everything.
func (lingeringConnection *lingeringConnection) Close() error {
	var err error
	lingeringConnection.closeOnce.Do(func() {
		lingeringConnection.headMemory.Close()
		if !linger.Needed(lingeringConnection.TCPConn) {
			err = lingeringConnection.end()
			return
		}
		lingeringConnection.guard.Go("end of a connection", func() {
			defer func() { _ = lingeringConnection.end() }()
			linger.Wait(lingeringConnection.TCPConn, linger.Options{MaxStall: maxStall})
		})
	})
	return err
}

// end closes the connection for good.
func (lingeringConnection *lingeringConnection) end() error {
	lingeringConnection.open.remove(lingeringConnection)
	return lingeringConnection.TCPConn.Close()
}
