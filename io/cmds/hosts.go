package cmds

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"shallotgap/core/ident"
	"shallotgap/io/admin"
	"shallotgap/io/texts"
)

// hostAnswer is one host's answer, or the error if there was none.
type hostAnswer[T any] struct {
	admin.Host
	Answer T      `json:"answer"`
	Err    string `json:"error,omitempty"`
}

// hosts returns the entry hosts in the settings of a host of r.Entry.
func (r Remote) hosts(ctx context.Context) ([]admin.Host, error) {
	var list []admin.Host
	err := r.get(ctx, "/admin/hosts", &list)
	return list, err
}

// withEntry returns r with h as the host that requests are sent to.
func (r Remote) withEntry(h admin.Host) Remote {
	r.Entry = []string{h.URL}
	return r
}

// queryHosts requests path from all hosts concurrently; the answers are in the order of the hosts.
func queryHosts[T any](ctx context.Context, r Remote, path string) ([]hostAnswer[T], error) {
	hosts, err := r.hosts(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]hostAnswer[T], len(hosts))
	var group errgroup.Group
	for i, h := range hosts {
		list[i].Host = h
		group.Go(func() error {
			if err := r.withEntry(h).get(ctx, path, &list[i].Answer); err != nil {
				list[i].Err = err.Error()
			}
			return nil
		})
	}
	return list, group.Wait()
}

// unreachableError returns an error that names the hosts that did not answer, or nil if all did.
func unreachableError[T any](list []hostAnswer[T]) error {
	var names []ident.HostID
	for _, a := range list {
		if a.Err != "" {
			names = append(names, a.Host.Host)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return withCode(Unreachable, fmt.Errorf(texts.HostsUnreachable, names))
}
