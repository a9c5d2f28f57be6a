//go:build review2

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["early"] = playEarly
}

// Figures of the uploads: within max_body_bytes, and as the sheet of the site has them.
const (
	uploads     = 36
	uploadPiece = 1000
	uploadCount = 60
	// uploadPause is the time between two pieces of a body, as on a link of 4 Mbit/s.
	uploadPause = 2 * time.Millisecond
	// earlyAnswerBytes is the length of the targets' answers.
	earlyAnswerBytes = 1_500_000
	// Of uploadTargets targets, earlyTargets answer early, earlyOf of each earlyEach uploads that they get, for earlyTime: within the largest
	// dose of the site, a share of 0.7 and 0.4 of the answers for 6 s.
	uploadTargets = 6
	earlyTargets  = 4
	earlyOf       = 2
	earlyEach     = 5
	earlyTime     = 6 * time.Second
)

// playEarly lets a target answer uploads before it has read them, keep the connection and read on later.
func playEarly(env *env) error {
	store, err := startStore()
	if err != nil {
		return err
	}
	received := make(chan string, 1)
	turns := &earlyTurns{}
	for number := range uploadTargets {
		target, err := startTarget(fmt.Sprintf("i-desk-%d", number), func(connection *targetConnection, request *http.Request) bool {
			return serveUpload(env, connection, request, received, env.trouble && number < earlyTargets && turns.next())
		})
		if err != nil {
			return err
		}
		store.put("servers/"+target.id, target.entry("client-desk", "sk-west-a"))
	}
	store.put("op/config", configuration(1, route("sheet", "/sheet/", "upload", "client-desk", 3), service("client-desk")))
	instance, err := startInstance(env, "entry-1", "sk-west-a", store)
	if err != nil {
		return err
	}
	defer instance.stop()
	time.Sleep(time.Second)
	for number := range uploads {
		id := fmt.Sprintf("upload%010d", number)
		pieces := uploadPieces(number)
		status, err := sendUpload(instance.caller, id, pieces)
		env.note("%s: sent %d bytes, answered %d %v", id, uploadPiece*uploadCount, status, err)
		select {
		case got := <-received:
			checkUpload(env, id, strings.Join(pieces, ""), got)
		case <-time.After(5 * time.Second):
			env.note("%s: no target has worked on it", id)
		}
	}
	return nil
}

// earlyTurns decides which uploads the targets that answer early answer so.
type earlyTurns struct {
	mutex   sync.Mutex
	started time.Time
	count   int
}

// next reports whether the next upload is answered early.
func (turns *earlyTurns) next() bool {
	turns.mutex.Lock()
	defer turns.mutex.Unlock()
	if turns.started.IsZero() {
		turns.started = time.Now()
	}
	turns.count++
	return turns.count%earlyEach < earlyOf && time.Since(turns.started) < earlyTime
}

// uploadPieces returns the pieces of a body, each of which is marked with its number.
func uploadPieces(number int) []string {
	pieces := make([]string, uploadCount)
	for index := range pieces {
		mark := fmt.Sprintf("<%d.%02d>", number, index)
		pieces[index] = mark + strings.Repeat("x", uploadPiece-len(mark))
	}
	return pieces
}

// checkUpload checks that what the target has read is what the client sent, or its beginning if the connection ended before.
func checkUpload(env *env, id, sent, got string) {
	if strings.HasPrefix(sent, got) {
		env.note("%s: the target has read %d bytes, all as sent", id, len(got))
		return
	}
	same := 0
	for same < len(got) && got[same] == sent[same] {
		same++
	}
	env.violation("%s: the target has read %d bytes; from byte %d on others than were sent there: %q in place of %q",
		id, len(got), same, got[same:min(same+8, len(got))], sent[same:min(same+8, len(sent))])
}

// serveUpload reads an upload, and answers it before it has read the rest if it is early.
func serveUpload(env *env, connection *targetConnection, request *http.Request, received chan<- string, early bool) bool {
	var body bytes.Buffer
	connection.target.ran(request)
	id := attemptID(request)
	if early {
		_, err := io.CopyN(&body, request.Body, uploadPiece)
		if err != nil {
			received <- body.String()
			return false
		}
		connection.success(request, strings.Repeat("a", earlyAnswerBytes))
		// The rest is read later.
		time.Sleep(20 * time.Millisecond)
	}
	_, err := io.Copy(&body, request.Body)
	env.note("%s: the target has read %d bytes, end: %v", id, body.Len(), err)
	if !early && err == nil {
		connection.success(request, strings.Repeat("a", earlyAnswerBytes))
	}
	received <- body.String()
	return err == nil
}

// sendUpload sends a request with a chunked body, as fast as its link allows, and returns the status of the answer.
func sendUpload(address, id string, pieces []string) (int, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer connection.Close()
	_, _ = fmt.Fprintf(connection, "POST /sheet/%s HTTP/1.1\r\nHost: %s\r\nX-Jaywheel-Attempt-Id: %s\r\nX-Jaywheel-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n", id, hostName, id)
	go func() {
		for _, piece := range pieces {
			if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				return
			}
			time.Sleep(uploadPause)
		}
		_, _ = io.WriteString(connection, "0\r\n\r\n")
	}()
	_ = connection.SetReadDeadline(time.Now().Add(4 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
