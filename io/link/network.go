package link

import (
	"context"

	"shallotgap/core/ident"
	"shallotgap/io/logs"
)

// Network connects a host with the other hosts. Mesh implements it with sockets.
type Network interface {
	// Run keeps the links open until the context ends.
	Run(ctx context.Context) error
	// Target adds a host to those that this host connects to, now and after each loss of the link.
	Target(h ident.HostID)
	// Send queues a message for a host and reports false if there is no link or its queue is full.
	Send(to ident.HostID, msg Message) bool
	// SendEncoded is like Send, for a message that was encoded before.
	SendEncoded(to ident.HostID, msg Encoded) bool
	// SendAll queues a message for each linked host for which match returns true.
	SendAll(msg Message, match func(Hello) bool)
}

var _ Network = (*Mesh)(nil)

// Opener returns the network of a host. It is a setting of hosts, so that tests can run them without sockets.
type Opener func(logs.Common, Config) Network

// Open calls the opener, or returns a Mesh without links if the opener is nil.
func (o Opener) Open(common logs.Common, c Config) Network {
	if o == nil {
		return New(common, c)
	}
	return o(common, c)
}
