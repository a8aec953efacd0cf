package dial

import "shallotgap/io/quota"

// Memory of a response.
const (
	// smallAnswer is the size in bytes up to which a header, or a body, does not count: many times that of usual ones, and so little that as many
	// as a host has descriptors fit into its memory.
	smallAnswer = 8 << 10
	// headCopies is how often the bytes of a header are held while it is parsed.
	headCopies = 2
)

// headMemory returns the memory of the header that is being read.
func (c *conn) headMemory() quota.Bytes {
	if read := maxHeadBytes - c.headLeft; read > smallAnswer {
		return quota.Bytes(headCopies * read)
	}
	return 0
}

// holdHead holds the memory of the header that is being read.
func (c *conn) holdHead() error {
	if n := c.headMemory(); n > 0 {
		return c.lease.Hold(n)
	}
	return nil
}

// Hold holds memory for the body of the response, in bytes. It fails once the response is broken off because all responses take too much; then
// its connection is closed.
func (resp *Response) Hold(n int) error {
	if n <= smallAnswer {
		n = 0
	}
	if resp.held == 0 && n == 0 {
		return nil
	}
	return resp.conn.lease.Hold(resp.held + quota.Bytes(n))
}

// ReadBody reads the body up to a number of bytes, and holds memory for it until the response is closed. As with io.ReadAll, the end of the
// body is no error.
func (resp *Response) ReadBody(limit int) ([]byte, error) {
	return quota.ReadAll(resp, limit, resp.Hold)
}
