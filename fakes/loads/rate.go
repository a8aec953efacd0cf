package loads

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Rate is the command that streams from one entry host and measures the processor time of processes meanwhile.
type Rate struct {
	Entry   string        `required:"" help:"Address of the entry host."`
	Model   string        `required:"" help:"adapter@version."`
	Callers int           `default:"64" help:"Streams at once."`
	Tokens  int           `default:"244" help:"Tokens of each answer; 3.2 million tokens and 13,000 requests a second are 246."`
	For     time.Duration `default:"10s" help:"Time to measure."`
	Warm    time.Duration `default:"2s" help:"Time to run before."`
	PID     []int         `name:"pid" help:"Processes whose processor time is read."`
}

// counts are what all callers saw.
type counts struct {
	requests, tokens, failed atomic.Int64
}

// Run prints requests and tokens a second and the cores that each process used.
func (c *Rate) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Warm+c.For+time.Second)
	defer cancel()
	var seen counts
	group, ctx := errgroup.WithContext(ctx)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	for range c.Callers {
		group.Go(func() error { return c.call(ctx, client, &seen) })
	}
	group.Go(func() error {
		defer cancel()
		<-time.After(c.Warm)
		return c.measure(&seen)
	})
	return group.Wait()
}

// measure reads the counts over the measured time.
func (c *Rate) measure(seen *counts) error {
	before, err := c.times()
	if err != nil {
		return err
	}
	requests, tokens := seen.requests.Load(), seen.tokens.Load()
	start := time.Now()
	<-time.After(c.For)
	seconds := time.Since(start).Seconds()
	fmt.Printf("%.0f requests/s, %.0f tokens/s, %d failed\n", float64(seen.requests.Load()-requests)/seconds,
		float64(seen.tokens.Load()-tokens)/seconds, seen.failed.Load())
	after, err := c.times()
	if err != nil {
		return err
	}
	for i, pid := range c.PID {
		fmt.Printf("process %d: %.2f of a core\n", pid, (after[i]-before[i]).Seconds()/seconds)
	}
	return nil
}

// call streams again and again until the context ends.
func (c *Rate) call(ctx context.Context, client *http.Client, seen *counts) error {
	for ctx.Err() == nil {
		err := c.stream(ctx, client, seen)
		switch {
		case err == nil:
			seen.requests.Add(1)
		case ctx.Err() == nil:
			seen.failed.Add(1)
		}
	}
	return nil
}

var errShort = errors.New("the stream ended without its end mark")

func (c *Rate) stream(ctx context.Context, client *http.Client, seen *counts) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"x","stream":true,"max_tokens":%d}`, c.Model, c.Tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Entry+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	return readTokens(resp, seen)
}

func readTokens(resp *http.Response, seen *counts) error {
	in := bufio.NewScanner(resp.Body)
	for in.Scan() {
		data, ok := bytes.CutPrefix(in.Bytes(), []byte("data: "))
		switch {
		case !ok:
		case string(data) == "[DONE]":
			return nil
		default:
			seen.tokens.Add(1)
		}
	}
	return errShort
}

// clockTick is the unit of processor times in /proc, as proc(5) gives it for all common machines.
const clockTick = 10 * time.Millisecond

// times returns the processor time that each process has used, from /proc.
func (c *Rate) times() ([]time.Duration, error) {
	var list []time.Duration
	for _, pid := range c.PID {
		t, err := timeOf(pid)
		if err != nil {
			return nil, err
		}
		list = append(list, t)
	}
	return list, nil
}

// timeOf reads user and system time, the fields 14 and 15 of /proc/PID/stat.
func timeOf(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field, the name in parentheses, may hold spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 14 - 3, 15 - 3
	if len(fields) <= system {
		return 0, fmt.Errorf("read /proc/%d/stat: too few fields", pid)
	}
	var ticks int64
	for _, i := range []int{user, system} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("read /proc/%d/stat: %w", pid, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}
