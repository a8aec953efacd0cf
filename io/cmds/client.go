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

// callTimeout bounds one request of the command line to a host.
const callTimeout = 15 * time.Second

// Remote holds the flags of commands that send requests to a running system.
type Remote struct {
	Entry     string `help:"Address of any entry host." default:"http://127.0.0.1:7100" env:"SHALLOTGAP_ENTRY"`
	TokenFile string `help:"File with the operator's token; needed where the settings ask for one." env:"SHALLOTGAP_TOKEN_FILE"`
	JSON      bool   `help:"Print JSON with kebab-case names." name:"json"`
}

func (r Remote) get(ctx context.Context, path string, out any) error {
	return r.call(ctx, http.MethodGet, path, nil, out)
}

func (r Remote) post(ctx context.Context, path string, in, out any) error {
	return r.call(ctx, http.MethodPost, path, in, out)
}

func (r Remote) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := r.request(ctx, method, path, in)
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

func (r Remote) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(r.Entry, "/")+path, body)
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
