package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// An entry host that has asked for a large layout asked each further control host for another copy every 300 ms, and the copies
// delayed each other. It must still ask again when a response can't come.
func TestFetchIsRepeatedSeldom(t *testing.T) {
	const slow = 3 * time.Second // until the response arrives
	cases := map[string]struct {
		lost string // the control host whose link is lost after half a second
		most int    // fetches in that time
		want int    // of them within 100 ms of the loss
	}{
		"slow link":                        {most: 4},
		"link of the asked host is lost":   {lost: "c1", most: 6, want: 1},
		"link of another host is lost too": {lost: "c3", most: 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := ident.Time(time.Hour)
			t.Cleanup(clock.Replace(func() ident.Time { return now }))
			f, sent := newFront(t)
			fetches, afterLoss := 0, 0
			for span := time.Duration(0); span < slow; span += 50 * time.Millisecond {
				now = ident.Time(time.Hour).Add(span)
				if span == 500*time.Millisecond && c.lost != "" {
					f.LinkDown(link.Hello{Host: ident.HostID(c.lost), Control: true})
				}
				for _, h := range []ident.HostID{"c1", "c2", "c3"} {
					if string(h) == c.lost && span >= 500*time.Millisecond {
						continue
					}
					sent.sent = nil
					f.handleStatus(h, link.Status{Layout: 5})
					for _, m := range sent.sent {
						if m.Fetch != nil {
							fetches++
							if span >= 500*time.Millisecond && span < 600*time.Millisecond {
								afterLoss++
							}
						}
					}
				}
			}
			assert.Assert(t, fetches >= 2 && fetches <= c.most, "%d fetches", fetches)
			assert.Equal(t, afterLoss, c.want)
		})
	}
}
