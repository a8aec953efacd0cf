//go:build review

package rig3

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Replica is a stand-in of a replica, which runs as a process of its own.
type Replica struct {
	ID, Service, Address string
	command              *exec.Cmd
	input                io.WriteCloser
	exited               chan struct{}

	mu   sync.Mutex
	runs []string // ids of the requests that it began to run
	said chan string
}

// ReplicaConfig describes a stand-in.
type ReplicaConfig struct {
	ID, Service string
	Engine      bool
	// Listen is the address at which it listens, Address the one that it names in heartbeats, if that is another one.
	Listen, Address string
	// Mode is passed to the handler of the case.
	Mode string
}

// StartReplica starts this program again as a replica, and waits until it has announced itself.
func (r *Rig) StartReplica(c ReplicaConfig) (*Replica, error) {
	if c.Address == "" {
		c.Address = c.Listen
	}
	args := []string{"replica", "-id", c.ID, "-service", c.Service, "-listen", c.Listen, "-address", c.Address, "-mode", c.Mode, "-controls", strings.Join(r.ControlAddresses(), ",")}
	if c.Engine {
		args = append(args, "-engine")
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	x := &Replica{ID: c.ID, Service: c.Service, Address: c.Address, command: exec.Command(program, args...), exited: make(chan struct{}), said: make(chan string, 1000)}
	if x.input, err = x.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := x.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	x.command.Stderr = os.Stderr
	if err := x.command.Start(); err != nil {
		return nil, err
	}
	r.replicas = append(r.replicas, x)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			line := lines.Text()
			r.Record.Add("replica %s %s", x.ID, line)
			if id, found := strings.CutPrefix(line, "runs "); found {
				x.mu.Lock()
				x.runs = append(x.runs, strings.Fields(id)[0])
				x.mu.Unlock()
			}
			select {
			case x.said <- line:
			default:
			}
		}
		_ = x.command.Wait()
		close(x.exited)
	}()
	return x, x.Await("announced ready", 10*time.Second)
}

// Await waits until the replica says a line that begins with a text.
func (x *Replica) Await(text string, within time.Duration) error {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		select {
		case line := <-x.said:
			if strings.HasPrefix(line, text) {
				return nil
			}
		case <-timer.C:
			return fmt.Errorf("replica %s has not said %q", x.ID, text)
		case <-x.exited:
			return fmt.Errorf("replica %s has ended", x.ID)
		}
	}
}

// Tell writes a line to the replica.
func (x *Replica) Tell(line string) { _, _ = io.WriteString(x.input, line+"\n") }

// Kill ends the process of the replica at once.
func (x *Replica) Kill() {
	_ = x.command.Process.Signal(syscall.SIGKILL)
	<-x.exited
}

// FreeAddress returns a loopback address with a free port.
func (r *Rig) FreeAddress(n int) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.3.%d:0", r.Network, n))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Server is the replica inside its process.
type Server struct {
	ID, Service, Address, Mode string
	Engine                     bool
	born                       int64
	controls                   []string
	mu                         sync.Mutex
	seq                        int
	state                      string
	remaining                  time.Time
	told                       map[string]bool
}

// Say writes a line to the parent process.
func (s *Server) Say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// Told reports whether the parent has written a line.
func (s *Server) Told(line string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told[line]
}

// Stamp returns the signature of a request's answer.
func (s *Server) Stamp(id string) string { return s.ID + "." + id }

// RunReplica is the main function of the process of a replica. handle runs a request over its hijacked connection; it is called with the id.
func RunReplica(args []string, handle func(s *Server, c net.Conn, r *http.Request, body []byte, id string)) int {
	set := flag.NewFlagSet("replica", flag.ExitOnError)
	s := &Server{born: time.Now().UnixMilli(), state: "ready", told: map[string]bool{}}
	set.StringVar(&s.ID, "id", "", "")
	set.StringVar(&s.Service, "service", "", "")
	set.StringVar(&s.Address, "address", "", "")
	set.StringVar(&s.Mode, "mode", "", "")
	set.BoolVar(&s.Engine, "engine", false, "")
	listen := set.String("listen", "", "")
	controls := set.String("controls", "", "")
	_ = set.Parse(args)
	s.controls = strings.Split(*controls, ",")
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Println("cannot listen:", err)
		return CouldNot
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, handle) }))
	}()
	go s.beat()
	input := bufio.NewScanner(os.Stdin)
	for input.Scan() {
		line := input.Text()
		s.mu.Lock()
		s.told[line] = true
		s.mu.Unlock()
		if line == "drain" {
			s.mu.Lock()
			s.state, s.remaining = "draining", time.Now().Add(2*time.Second)
			s.mu.Unlock()
			if s.announce() {
				s.Say("announced draining, acknowledged")
			}
		}
	}
	return Held // the parent has ended
}

// serve answers calls of the system itself, and passes requests of clients on.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, handle func(s *Server, c net.Conn, r *http.Request, body []byte, id string)) {
	id := r.Header.Get("Shallotgap-Request-Id")
	if id != "" {
		w.Header().Set("Shallotgap-Request-Id", id)
	}
	if want := r.Header.Get("Shallotgap-Expect-Instance"); want != "" && want != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Shallotgap-Instance-Id", s.ID)
		return
	case "/-/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": s.models(), "busy": false, "seq": 0, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 183294, "handles": 0, "born": s.born})
		return
	case "/-/order":
		w.WriteHeader(http.StatusAccepted)
		return
	}
	s.Say("runs %s (%s %s)", id, r.Method, r.URL.Path)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	handle(s, c, r, body, id)
}

func (s *Server) models() []any {
	if !s.Engine {
		return []any{}
	}
	return []any{map[string]any{"name": ModelName, "version": 1, "adapters": []string{}}}
}

// beat sends heartbeats.
func (s *Server) beat() {
	first := true
	for {
		if s.announce() && first {
			first = false
			s.Say("announced ready, acknowledged")
		}
		pause := 1200 * time.Millisecond
		if first {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// announce sends one heartbeat, to one host after the other until one acknowledges it.
func (s *Server) announce() bool {
	s.mu.Lock()
	s.seq++
	b := map[string]any{"service": s.Service, "address": s.Address, "zone": "bayern-nord", "version": "v1", "slots": 96, "state": s.state, "coldLeftMs": 0, "stage": "both", "models": s.models(), "seq": s.seq, "born": s.born}
	if !s.remaining.IsZero() {
		b["remainingMs"] = max(0, time.Until(s.remaining).Milliseconds())
	}
	s.mu.Unlock()
	data, _ := json.Marshal(b)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range s.controls {
		req, err := http.NewRequest(http.MethodPut, "http://"+s.controls[(n+s.seq)%len(s.controls)]+"/-/instances/"+s.ID, strings.NewReader(string(data)))
		if err != nil {
			return false
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// Running reports whether the replica runs a request that Done has not ended.
func (x *Replica) Running() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.runs) > 0
}

// Done forgets the requests that the replica has run.
func (x *Replica) Done() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runs = nil
}

// AnswerWithLength writes a whole answer that tells its length.
func AnswerWithLength(s *Server, c net.Conn, id, body string) {
	mediaType := "application/octet-stream"
	if s.Engine {
		mediaType = "text/event-stream"
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nShallotgap-Request-Id: "+id+"\r\nShallotgap-Server-Stamp: "+s.Stamp(id)+"\r\nContent-Type: "+mediaType+fmt.Sprintf("\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", len(body))+body)
}
