package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// Limits of one request of the command line.
const (
	// callTimeout bounds the request over all hosts.
	callTimeout = 15 * time.Second
	// hostTimeout is the time without an answer after which the next of several hosts is tried. An election takes less.
	hostTimeout = 2 * time.Second
	// hostRounds is how often each of several hosts is tried; roundPause is the pause before a further round.
	hostRounds = 3
	roundPause = 200 * time.Millisecond
)

// Remote holds the flags of commands that send requests to a running system.
type Remote struct {
	Entry     []string `help:"Address of any entry host, or several with commas between: the next one is tried when one does not answer." default:"http://127.0.0.1:7100" env:"SHALLOTGAP_ENTRY" sep:","`
	TokenFile string   `help:"File with the operator's token; needed where the settings ask for one." env:"SHALLOTGAP_TOKEN_FILE"`
	JSON      bool     `help:"Print JSON with kebab-case names." name:"json"`
}

func (r Remote) get(ctx context.Context, path string, out any) error {
	return r.call(ctx, http.MethodGet, path, nil, out)
}

func (r Remote) post(ctx context.Context, path string, in, out any) error {
	return r.call(ctx, http.MethodPost, path, in, out)
}

// call sends a request to the hosts of r.Entry in turn until one gives a clear answer. Requests must have no further effect when
// they are sent again: reads, and changes with an id.
func (r Remote) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if len(r.Entry) == 1 {
		return r.callHost(ctx, r.Entry[0], method, path, in, out)
	}
	var err error
	for round := range hostRounds {
		if round > 0 {
			pause(ctx, roundPause)
		}
		for _, entry := range r.Entry {
			hostCtx, cancel := context.WithTimeout(ctx, hostTimeout)
			err = r.callHost(hostCtx, entry, method, path, in, out)
			cancel()
			if !outcomeUnknown(err) || ctx.Err() != nil {
				return err
			}
		}
	}
	return err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// callHost sends a request to one host.
func (r Remote) callHost(ctx context.Context, entry, method, path string, in, out any) error {
	req, err := r.request(ctx, entry, method, path, in)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return withCode(NoAnswer, fmt.Errorf("%s %s: %w", method, path, err))
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return withCode(NoAnswer, fmt.Errorf("%s %s: %w", method, path, err))
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return statusError(resp.StatusCode, fmt.Errorf("%s %s: %s: %s", method, path, resp.Status, bytes.TrimSpace(data)))
	}
	return json.Unmarshal(data, out)
}

func (r Remote) request(ctx context.Context, entry, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(entry, "/")+path, body)
	if err != nil {
		return nil, err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.TokenFile == "" {
		return req, nil
	}
	token, err := os.ReadFile(r.TokenFile)
	if err != nil {
		return nil, withCode(Usage, fmt.Errorf("read the operator's token: %w", err))
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	return req, nil
}

// statusError returns err with the exit code for an HTTP error status. A host answers 503 if the outcome of a command is unknown.
func statusError(status int, err error) error {
	if status == http.StatusServiceUnavailable {
		return withCode(NoAnswer, err)
	}
	return err
}

// outcomeUnknown reports whether the request that failed with err may still have taken effect.
func outcomeUnknown(err error) bool {
	var e *CodedError
	return errors.As(err, &e) && e.Code == NoAnswer
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
