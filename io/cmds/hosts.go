package cmds

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"shallotgap/core/ident"
	"shallotgap/io/admin"
	"shallotgap/io/texts"
)

// asked is what one host answered, or why it did not.
type asked[T any] struct {
	admin.Host
	Answer T      `json:"answer"`
	Err    string `json:"error,omitempty"`
}

// hosts lists all entry hosts as the asked one knows them.
func (r Remote) hosts(ctx context.Context) ([]admin.Host, error) {
	var list []admin.Host
	err := r.get(ctx, "/admin/hosts", &list)
	return list, err
}

// at returns the same flags for another host.
func (r Remote) at(h admin.Host) Remote {
	r.Entry = h.URL
	return r
}

// askAll asks every host for path side by side; the answers are in the order of the hosts.
func askAll[T any](ctx context.Context, r Remote, path string) ([]asked[T], error) {
	hosts, err := r.hosts(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]asked[T], len(hosts))
	var group errgroup.Group
	for i, h := range hosts {
		list[i].Host = h
		group.Go(func() error {
			if err := r.at(h).get(ctx, path, &list[i].Answer); err != nil {
				list[i].Err = err.Error()
			}
			return nil
		})
	}
	return list, group.Wait()
}

// silent returns an error that names the hosts without an answer, or nil.
func silent[T any](list []asked[T]) error {
	var names []ident.HostID
	for _, a := range list {
		if a.Err != "" {
			names = append(names, a.Host.Host)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return coded(Unreachable, fmt.Errorf(texts.HostsUnreachable, names))
}
