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
	cases["dropped-answer"] = playDroppedAnswer
}

const (
	// slowUploads is the number of uploads, which clients send at the same time.
	slowUploads = 40
	// slowTargets is the number of targets, as on the site, and slowEarly that of those which answer early, as in case 8.
	slowTargets = 23
	slowEarly   = 16
	// An upload has slowPieces pieces of slowPieceBytes, with slowPause between two of them: 180,000 bytes in 6 s, as on a link of
	// 240 kbit/s. The longest upload on the site has 360,000 bytes.
	slowPieces     = 60
	slowPieceBytes = 3000
	slowPause      = 100 * time.Millisecond
	// uploadTimeout is timeout_s of the route and the clients' deadline.
	uploadTimeout = 10 * time.Second
	// maxUnanswered is how many requests the rule allows to end without an answer.
	maxUnanswered = 3
)

// playDroppedAnswer lets a target answer uploads before it has read them, while clients send them over slow links.
func playDroppedAnswer(env *env) error {
	store, err := startStore()
	if err != nil {
		return err
	}
	turns := &earlyTurns{}
	for number := range slowTargets {
		target, err := startTarget(fmt.Sprintf("i-desk-%d", number), func(connection *targetConnection, request *http.Request) bool {
			return serveSlowUpload(env, connection, request, env.trouble && number < slowEarly && len(request.TransferEncoding) > 0 && turns.next())
		})
		if err != nil {
			return err
		}
		store.put("servers/"+target.id, target.entry("member-desk", "sk-west-a"))
	}
	store.put("op/config", configuration(1, route("sheet", "/sheet/", "upload", "member-desk", uploadTimeout.Seconds()), service("member-desk")))
	instance, err := startInstance(env, "entry-1", "sk-west-a", store)
	if err != nil {
		return err
	}
	defer instance.stop()
	time.Sleep(time.Second)
	var group sync.WaitGroup
	var mutex sync.Mutex
	unanswered := 0
	for number := range slowUploads {
		group.Go(func() {
			if sendSlowUpload(env, instance.caller, number) {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			unanswered++
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	if unanswered > maxUnanswered {
		env.violation("LOST: the connection of %d requests ended without an answer", unanswered)
	}
	return nil
}

// serveSlowUpload reads an upload and answers it, before it has read it if it is early.
func serveSlowUpload(env *env, connection *targetConnection, request *http.Request, early bool) bool {
	id := attemptID(request)
	if early {
		_, _ = io.CopyN(io.Discard, request.Body, slowPieceBytes)
		connection.target.ran(request)
		connection.success(request, "taken")
		env.note("%s: the target has run and answered it, and reads on", id)
	}
	read, err := io.Copy(io.Discard, request.Body)
	env.note("%s: the target has read another %d bytes, end: %v", id, read, err)
	if err != nil {
		return false
	}
	if !early {
		connection.target.ran(request)
		connection.success(request, "taken")
		env.note("%s: the target has run and answered it", id)
	}
	return true
}

// sendSlowUpload sends a short upload with a length and then a slow one in chunks on the same connection, and reports whether the second one
// was answered.
func sendSlowUpload(env *env, address string, number int) bool {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		env.note("no connection: %v", err)
		return true
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	sendHead(connection, fmt.Sprintf("short%011d", number), fmt.Sprintf("Content-Length: %d", slowPieceBytes))
	_, _ = io.WriteString(connection, strings.Repeat("x", slowPieceBytes))
	if !receive(env, connection, reader, fmt.Sprintf("short%011d", number)) {
		// The connection was not kept, so that what follows would not count.
		return true
	}
	sendHead(connection, fmt.Sprintf("sheet%011d", number), "Transfer-Encoding: chunked")
	go sendPieces(connection, slowPieces)
	return receive(env, connection, reader, fmt.Sprintf("sheet%011d", number))
}

func sendHead(connection net.Conn, id, framing string) {
	_, _ = fmt.Fprintf(connection, "POST /sheet/%s HTTP/1.1\r\nHost: %s\r\nX-Jaywheel-Attempt-Id: %s\r\nX-Jaywheel-Deadline-Ms: %d\r\n%s\r\n\r\n",
		id, hostName, id, uploadTimeout.Milliseconds(), framing)
}

// receive receives an answer, and reports whether there was a whole one.
func receive(env *env, connection net.Conn, reader *bufio.Reader, id string) bool {
	started := time.Now()
	_ = connection.SetReadDeadline(started.Add(uploadTimeout))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		env.note("%s: after %.3f s: no answer, %v", id, time.Since(started).Seconds(), err)
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	env.note("%s: after %.3f s: answered %d %v", id, time.Since(started).Seconds(), response.StatusCode, err)
	return err == nil
}

func sendPieces(connection net.Conn, count int) {
	for number := range count {
		if number > 0 {
			time.Sleep(slowPause)
		}
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", slowPieceBytes, strings.Repeat("x", slowPieceBytes)); err != nil {
			return
		}
	}
	_, _ = io.WriteString(connection, "0\r\n\r\n")
}
