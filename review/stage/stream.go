//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["stream"] = playStream
	tools["replica"] = streamReplica
}

const (
	eventCount  = 20
	eventPause  = 100 * time.Millisecond
	streamLimit = 8 * time.Second // timeoutMs of the route
	// A quarter of the replicas crashes at a time.
	notesReplicas = 4
	crashes       = 3
	halfWritten   = "half"
)

// event returns an event of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: word %d of the note\n\n", n, n) }

// streamReplica is a replica of a plain service, in a process of its own: ID ADDRESS ZONE NODE... It answers with a stream that has no length and
// ends with its connection. At each stream it says when half of the event in the middle is written.
func streamReplica(args []string) error {
	id, zone, nodes := args[0], args[2], args[3:]
	l, err := net.Listen("tcp", args[1])
	if err != nil {
		return err
	}
	go func() {
		for seq := 1; ; seq++ {
			body, err := json.Marshal(map[string]any{
				"service": "notes", "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
				"stage": "both", "models": []any{}, "seq": seq, "born": startedAt.UnixMilli(),
			})
			for k := 0; err == nil && k < len(nodes); k++ {
				if status, _ := call(http.MethodPut, "http://"+nodes[(seq+k)%len(nodes)]+"/-/instances/"+id, body); status/100 == 2 {
					break
				}
			}
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go answerStream(c, id)
	}
}

var startedAt = time.Now()

func answerStream(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	request := r.Header.Get("Shallotgap-Request-Id")
	write := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	if want := r.Header.Get("Shallotgap-Expect-Instance"); want != "" && want != id {
		write("HTTP/1.1 421 Misdirected Request\r\nShallotgap-Request-Id: " + request + "\r\nContent-Length: 0\r\n\r\n")
		return
	}
	fmt.Println("runs", request)
	if !write("HTTP/1.1 200 OK\r\nShallotgap-Request-Id: " + request + "\r\nShallotgap-Server-Stamp: stamp-" + id + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n") {
		return
	}
	for n := 1; n <= eventCount; n++ {
		text := event(n)
		half := len(text) / 2
		if !write(text[:half]) {
			return
		}
		if n == eventCount/2 {
			fmt.Println(halfWritten, request)
		}
		time.Sleep(eventPause)
		if !write(text[half:]) {
			return
		}
	}
	fmt.Println("ends", request)
}

// child is a replica in a process of its own.
type child struct {
	id      string
	command *exec.Cmd
	ended   chan struct{}
}

// startChild starts a replica; crash is whether it is killed once it has written half of an event.
func (s *site) startChild(id, zone, address string, crash func() bool) (*child, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := []string{"replica", id, address, zone}
	for _, m := range s.find("control") {
		args = append(args, m.at(portControl))
	}
	c := &child{id: id, command: exec.Command(program, args...), ended: make(chan struct{})}
	out, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			s.record.note("replica %s: %s", id, lines.Text())
			if strings.HasPrefix(lines.Text(), halfWritten) && crash() {
				s.record.note("replica %s crashes", id)
				_ = c.command.Process.Signal(syscall.SIGKILL)
			}
		}
		_ = c.command.Wait()
		close(c.ended)
	}()
	return c, nil
}

func (c *child) stop() {
	_ = c.command.Process.Kill()
	<-c.ended
}

// playStream asks for streams of a plain service, whose replicas crash in the middle of an event.
func playStream(s *site, trouble bool) error {
	var children []*child
	defer func() {
		for _, c := range children {
			c.stop()
		}
	}()
	start := func(n int) error {
		c, err := s.startChild(fmt.Sprintf("i-notes-%d", n), s.zones[n%3], s.ip(101+n)+":8080", func() bool { return trouble })
		if err == nil {
			children = append(children, c)
		}
		return err
	}
	for n := range notesReplicas {
		if err := start(n); err != nil {
			return err
		}
	}
	r := route("r-notes", "/note/", "streaming", "notes")
	r["timeoutMs"], r["targetLatencyMs"], r["targetGapMs"], r["sticky"] = streamLimit.Milliseconds(), 1000, 400, true
	if err := s.configure(config(1, []string{"notes"}, r)); err != nil {
		return err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	for n := range crashes {
		got := s.send(s.find("front")[n%2], newID(), http.MethodPost, callersHost, fmt.Sprintf("/note/%d", n), "which cow", streamLimit)
		last := event(eventCount)
		switch {
		case got.err != nil || got.status != http.StatusOK:
			s.record.note("the answer is no whole success, as it should be after a crash")
		case strings.HasSuffix(got.body, last):
			s.record.note("the stream is whole")
		default:
			s.record.breaks("ORDER", "a stream ended as complete with %.40q, before its last event %.20q", got.body[max(0, len(got.body)-40):], last)
		}
		if trouble {
			if err := start(notesReplicas + n); err != nil {
				return err
			}
			time.Sleep(3 * time.Second)
		}
	}
	return nil
}
