package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotgap/io/conf"
)

// peerTimeout bounds the requests to the other hosts while a page is rendered.
const peerTimeout = time.Second

// hostAnswer is one host's answer; Known is false if the host did not answer.
type hostAnswer[T any] struct {
	conf.Host
	Answer T
	Known  bool
}

// queryHosts requests path from all hosts concurrently, with the credentials of the operator's request r.
func queryHosts[T any](r *http.Request, hosts []conf.Host, path string) []hostAnswer[T] {
	ctx, cancel := context.WithTimeout(r.Context(), peerTimeout)
	defer cancel()
	list := make([]hostAnswer[T], len(hosts))
	var group errgroup.Group
	for i, h := range hosts {
		list[i].Host = h
		group.Go(func() error {
			list[i].Known = fetchJSON(ctx, r, "http://"+h.Listen+path, &list[i].Answer) == nil
			return nil
		})
	}
	_ = group.Wait()
	return list
}

// fetchJSON decodes the JSON at url into out. The status code is ignored.
func fetchJSON(ctx context.Context, r *http.Request, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if value := r.Header.Get("Authorization"); value != "" {
		req.Header.Set("Authorization", value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}
