package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/world"
)

// loraOrder is the body of an engine's calls to load and unload a LoRA adapter.
type loraOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Load carries out a load order. It first unloads the adapter that the order evicts, if any.
func (c *Client) Load(ctx context.Context, l world.Load) world.Loaded {
	loaded := world.Loaded{Endpoint: l.Endpoint.ID, Fence: l.Endpoint.Fence, Model: l.Model, Evicted: l.Evict}
	if err := c.load(ctx, l); err != nil {
		loaded.Err = (&ident.StepError{Step: "load", Peer: string(l.Endpoint.ID), Err: err}).Error()
	}
	return loaded
}

func (c *Client) load(ctx context.Context, l world.Load) error {
	if l.Evict != nil {
		if err := c.order(ctx, l, "/v1/unload_lora_adapter", loraOrder{Name: l.Evict.String()}); err != nil {
			return err
		}
	}
	path := string(l.Model.Adapter) + "/" + string(l.Model.Version)
	return c.order(ctx, l, "/v1/load_lora_adapter", loraOrder{Name: l.Model.String(), Path: path})
}

// order posts a load or unload order on a new connection, so that the lease is checked right before the first byte is
// sent.
func (c *Client) order(ctx context.Context, l world.Load, path string, o loraOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	g := &guard{valid: func() bool { return c.now() < l.Until }}
	t := &http.Transport{DialContext: g.dial, DisableKeepAlives: true}
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.Endpoint.URL+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(FenceHeader, strconv.FormatUint(uint64(l.Endpoint.Fence), 10))
	resp, err := (&http.Client{Transport: t, CheckRedirect: noRedirect}).Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
		return fmt.Errorf("%s: %s %s", path, resp.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// engineState is the body of an engine's answer to GET /state.
type engineState struct {
	Instance uint64   `json:"instance"`
	Running  int      `json:"running"`
	Models   []string `json:"models"`
}

// Inspect asks an engine which adapters it has loaded and how many requests it is running.
func (c *Client) Inspect(ctx context.Context, e lease.Owned) world.Inspected {
	in := world.Inspected{Endpoint: e.ID, Fence: e.Fence}
	s, err := c.readState(ctx, e.URL)
	if err != nil {
		in.Err = (&ident.StepError{Step: "inspect", Peer: string(e.ID), Err: err}).Error()
		return in
	}
	in.Instance = ident.Incarnation(s.Instance)
	in.Running = s.Running
	for _, name := range s.Models {
		if m, err := ident.ParseModel(name); err == nil {
			in.Models = append(in.Models, m)
		}
	}
	return in
}

// readState reads the state of the engine at a URL.
func (c *Client) readState(ctx context.Context, url string) (engineState, error) {
	var s engineState
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/state", nil)
	if err != nil {
		return s, err
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("read state: HTTP status %d", resp.StatusCode)
	}
	return s, json.NewDecoder(io.LimitReader(resp.Body, maxEvent)).Decode(&s)
}
