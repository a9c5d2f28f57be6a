// Command standin plays a case of the review: it starts the project's own program as separate processes, beside stand-ins for the
// platform's store, backend servers and clients in this one.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var recording struct {
	mutex   sync.Mutex
	writer  *bufio.Writer
	started time.Time
}

// record writes a line of what was sent, answered and run.
func record(what string, fields ...string) {
	recording.mutex.Lock()
	defer recording.mutex.Unlock()
	fmt.Fprintf(recording.writer, "%8.3f %s %s\n", time.Since(recording.started).Seconds(), what, strings.Join(fields, " "))
}

func fail(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", arguments...)
	if deployment := open.Load(); deployment != nil {
		deployment.close()
	}
	os.Exit(exitNotRun)
}

func main() {
	if len(os.Args) != 4 {
		fail("usage: standin CASE PROGRAM RECORD")
	}
	played, found := cases[os.Args[1]]
	if !found {
		fail("no case %s", os.Args[1])
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fail("%v", err)
	}
	recording.writer, recording.started = bufio.NewWriter(file), time.Now()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { fail("%v", <-signals) }()
	broken, summary := played(os.Args[2], os.Getenv("TROUBLE") != "0")
	record("result", summary)
	recording.mutex.Lock()
	_ = recording.writer.Flush()
	_ = file.Close()
	recording.mutex.Unlock()
	fmt.Println(summary)
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// cases are the cases by name. Each reports whether the rule was broken, and what was seen.
var cases = map[string]func(binary string, trouble bool) (bool, string){
	"late-refusal":  lateRefusal,
	"endless-head":  endlessHead,
	"leaving-reset": leavingReset,
}
