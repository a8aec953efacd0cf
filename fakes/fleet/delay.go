package fleet

import (
	"net"
	"sync/atomic"
	"time"
)

// slowConn delays and counts what is written to a connection, as a longer line would.
type slowConn struct {
	net.Conn
	delay time.Duration
	sent  *atomic.Int64
	queue chan chunk
	ended chan struct{}
}

// chunk is data on its way.
type chunk struct {
	due  time.Time
	data []byte
}

// lineLength is the number of writes that may be on their way.
const lineLength = 4096

func newSlowConn(c net.Conn, delay time.Duration, sent *atomic.Int64) *slowConn {
	s := &slowConn{Conn: c, delay: delay, sent: sent, queue: make(chan chunk, lineLength), ended: make(chan struct{})}
	go s.carry()
	return s
}

func (s *slowConn) carry() {
	defer close(s.ended)
	for c := range s.queue {
		<-time.After(time.Until(c.due))
		if _, err := s.Conn.Write(c.data); err != nil {
			return
		}
	}
}

// Write takes data over; an error of the connection shows at a later write.
func (s *slowConn) Write(p []byte) (int, error) {
	if s.sent != nil {
		s.sent.Add(int64(len(p)))
	}
	select {
	case s.queue <- chunk{due: time.Now().Add(s.delay), data: append([]byte(nil), p...)}:
		return len(p), nil
	case <-s.ended:
		return 0, net.ErrClosed
	}
}
