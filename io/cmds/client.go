package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// callTimeout bounds one call of the command line to a host.
const callTimeout = 15 * time.Second

// Remote are the flags of commands that talk to a running system.
type Remote struct {
	Entry string `help:"Address of any entry host." default:"http://127.0.0.1:7100" env:"SHALLOTGAP_ENTRY"`
	JSON  bool   `help:"Print JSON with kebab-case names." name:"json"`
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
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(r.Entry, "/")+path, body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: %s: %s", method, path, resp.Status, bytes.TrimSpace(data))
	}
	return json.Unmarshal(data, out)
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
