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

// Rate is the command that sends streaming requests to one entry host and measures its throughput, along with the
// processor time that given processes use meanwhile.
type Rate struct {
	Entry   string        `required:"" help:"Address of the entry host."`
	Model   string        `required:"" help:"adapter@version."`
	Callers int           `default:"64" help:"Streams at once."`
	Tokens  int           `default:"244" help:"Tokens of each answer; 3.2 million tokens and 13,000 requests a second are 246."`
	For     time.Duration `default:"10s" help:"Time to measure."`
	Warm    time.Duration `default:"2s" help:"Time to run before."`
	PID     []int         `name:"pid" help:"Processes whose processor time is read."`
}

// streamCounts are running totals over all callers: complete requests, received tokens and failed requests.
type streamCounts struct {
	requests, tokens, failed atomic.Int64
}

// Run runs the callers for the warm-up and the measurement, and prints the requests and tokens per second and the share of
// a core that each process used.
func (c *Rate) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Warm+c.For+time.Second)
	defer cancel()
	var totals streamCounts
	group, ctx := errgroup.WithContext(ctx)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	for range c.Callers {
		group.Go(func() error { return c.repeatStreams(ctx, client, &totals) })
	}
	group.Go(func() error {
		defer cancel()
		<-time.After(c.Warm)
		return c.measure(&totals)
	})
	return group.Wait()
}

// measure waits for the measured time and prints the rates and the processor time over it.
func (c *Rate) measure(totals *streamCounts) error {
	before, err := c.processorTimes()
	if err != nil {
		return err
	}
	requestsBefore, tokensBefore := totals.requests.Load(), totals.tokens.Load()
	start := time.Now()
	<-time.After(c.For)
	seconds := time.Since(start).Seconds()
	fmt.Printf("%.0f requests/s, %.0f tokens/s, %d failed\n", float64(totals.requests.Load()-requestsBefore)/seconds,
		float64(totals.tokens.Load()-tokensBefore)/seconds, totals.failed.Load())
	after, err := c.processorTimes()
	if err != nil {
		return err
	}
	for i, pid := range c.PID {
		fmt.Printf("process %d: %.2f of a core\n", pid, (after[i]-before[i]).Seconds()/seconds)
	}
	return nil
}

// repeatStreams sends one streaming request after another until the context ends, and counts the results.
func (c *Rate) repeatStreams(ctx context.Context, client *http.Client, totals *streamCounts) error {
	for ctx.Err() == nil {
		err := c.stream(ctx, client, totals)
		switch {
		case err == nil:
			totals.requests.Add(1)
		case ctx.Err() == nil:
			totals.failed.Add(1)
		}
	}
	return nil
}

var errNoEndMark = errors.New("the stream ended without the [DONE] event")

// stream sends one streaming request and reads the whole answer.
func (c *Rate) stream(ctx context.Context, client *http.Client, totals *streamCounts) error {
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
	return readTokens(resp, totals)
}

// readTokens counts the tokens of a streamed answer up to its end mark, the event [DONE].
func readTokens(resp *http.Response, totals *streamCounts) error {
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		switch {
		case !ok:
		case string(data) == "[DONE]":
			return nil
		default:
			totals.tokens.Add(1)
		}
	}
	return errNoEndMark
}

// clockTick is the unit of processor times in /proc. It is a hundredth of a second on all common Linux
// machines, see proc(5).
const clockTick = 10 * time.Millisecond

// processorTimes returns the processor time that each process has used since its start.
func (c *Rate) processorTimes() ([]time.Duration, error) {
	var times []time.Duration
	for _, pid := range c.PID {
		used, err := processorTime(pid)
		if err != nil {
			return nil, err
		}
		times = append(times, used)
	}
	return times, nil
}

// processorTime returns the user plus system time of a process, the fields 14 and 15 of /proc/PID/stat.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field is the command name in parentheses, which may contain spaces: split after it.
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
