//go:build review2

// Command review-2 plays the scripted cases of the review: it starts the project's program beside stand-ins of the platform, its targets and
// its clients, and checks what these have seen. It is built by review/build-2.sh.
//
// # Usage
//
//	review-2 CASE FOLDER
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// env is what a case works with.
type env struct {
	trouble bool
	temp    string
	started time.Time

	mutex  sync.Mutex
	record *os.File
	broken int
}

// cases are the scripted cases by name. Each returns an error if it could not run.
var cases = map[string]func(*env) error{}

func main() {
	const arguments = 3
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*env) error, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(temp)
	play := &env{trouble: os.Getenv("TROUBLE") != "0", temp: temp, started: time.Now(), record: record}
	play.note("TROUBLE=%s", map[bool]string{true: "1", false: "0"}[play.trouble])
	if err := run(play); err != nil {
		play.note("could not run: %v", err)
		return exitNotRun
	}
	if play.broken > 0 {
		play.note("rule broken %d times", play.broken)
		return exitBroken
	}
	play.note("rule held")
	return exitHeld
}

// note writes a line into the record.
func (env *env) note(format string, values ...any) {
	env.mutex.Lock()
	defer env.mutex.Unlock()
	line := strconv.FormatFloat(time.Since(env.started).Seconds(), 'f', 3, 64) + " " + fmt.Sprintf(format, values...)
	fmt.Fprintln(env.record, line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Println(line)
	}
}

// violation records that the rule was broken.
func (env *env) violation(format string, values ...any) {
	env.note("BROKEN: "+format, values...)
	env.mutex.Lock()
	defer env.mutex.Unlock()
	env.broken++
}
