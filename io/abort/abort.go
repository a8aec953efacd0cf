// Package abort breaks off answers, so that they don't look complete.
package abort

import (
	"net"
	"net/http"
)

// Answer ends the connection of a request whose answer can't be completed. It does not return. In HTTP/1.1 an answer has a length or a last
// chunk, which is missing then; in HTTP/1.0 only a reset shows that it broke off, as the end of the connection ends a body without a length.
func Answer(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of an answer, where it is one of TCP.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // it is closed, as for other versions
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a socket that has failed needs no reset
	}
	_ = c.Close() // the connection is given up in any case
}
