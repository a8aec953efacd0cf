package story_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/io/story"
)

// logLine returns a log line with the given number of milliseconds after 01:08:00.
func logLine(ms int, rest string) string {
	return fmt.Sprintf("timestamp=2026-12-04T01:08:%02d.%03dZ level=info %s", ms/1000, ms%1000, rest)
}

func grant(ms int, endpoint, peer string) string {
	return logLine(ms, fmt.Sprintf(`message=place host=c1 endpoint=%s peer=%s inputs="waited=3ms cost=40ms" outcome=granted request=r1 step=grant term=2`, endpoint, peer))
}

func end(ms int, endpoint, outcome string) string {
	return logLine(ms, fmt.Sprintf(`message=request host=f1 endpoint=%s inputs="first=40ms" outcome=%s request=r1 step=end sends=1`, endpoint, outcome))
}

func TestStory(t *testing.T) {
	cases := map[string]struct {
		logs []string // one per host
		want []string // host and step of each line
		gaps []string // a part of each gap
	}{
		"served": {
			logs: []string{grant(1000, "g1", "f1"), end(1200, "g1", "served")},
			want: []string{"c1 grant", "f1 end"},
		},
		"ignores other requests and other programs": {
			logs: []string{"panic: none\nc1 | " + grant(1000, "g1", "f1") + "\n" + strings.ReplaceAll(grant(1001, "g1", "f1"), "r1", "r2"), end(1200, "g1", "served")},
			want: []string{"c1 grant", "f1 end"},
		},
		"unload on the endpoint of the request": {
			logs: []string{logLine(500, "message=place host=c1 endpoint=g1 request= step=unload outcome=ordered") + "\n" + logLine(501, "message=place host=c1 endpoint=g2 request= step=unload outcome=ordered") + "\n" + grant(1000, "g1", "f1"), end(1200, "g1", "served")},
			want: []string{"c1 unload", "c1 grant", "f1 end"},
		},
		"change of leader": {
			logs: []string{grant(1000, "g1", "f1"), logLine(1100, "message=leading host=c2 step=lead term=3"), end(1200, "g1", "served")},
			want: []string{"c1 grant", "c2 lead", "f1 end"},
		},
		"clock set back": {
			logs: []string{grant(1000, "g1", "f1"), logLine(1100, "message=request host=f1 endpoint=g1 request=r1 step=send outcome=not-run") + "\n" + end(900, "g1", "served")},
			want: []string{"c1 grant", "f1 send", "f1 end"},
		},
		"entry host killed": {
			logs: []string{grant(1000, "g1", "f1"), logLine(800, "message=authority host=f1 step=authority")},
			want: []string{"f1 authority", "c1 grant"},
			gaps: []string{"entry host f1, to which endpoint g1 was granted, does not tell how the request ended: its log goes from"},
		},
		"log of another host ends early": {
			logs: []string{grant(1000, "g1", "f1") + "\n" + strings.Replace(grant(1400, "g1", "f1"), "step=grant", "step=doubt", 1), logLine(1100, "message=role host=c2 step=lead")},
			want: []string{"c1 grant", "c1 doubt"},
			gaps: []string{"its log was not read", "the log of host c2 ends at 2026-12-04T01:08:01.1Z"},
		},
		"log of the entry host not read": {
			logs: []string{grant(1000, "g1", "f1")},
			want: []string{"c1 grant"},
			gaps: []string{"its log was not read"},
		},
		"log of the leader not read": {
			logs: []string{end(1200, "g1", "served")},
			want: []string{"f1 end"},
			gaps: []string{"why endpoint g1 was chosen"},
		},
		"long gap between lines": {
			logs: []string{grant(1000, "g1", "f1"), end(3500, "g1", "served")},
			want: []string{"c1 grant", "f1 end"},
			gaps: []string{"2.5 s without a line between grant on host c1 and end on host f1"},
		},
		"dropped lines": {
			logs: []string{grant(1000, "g1", "f1") + "\n" + logLine(1100, "message=lines-dropped host=c1 lines=40 step=log"), end(1200, "g1", "served")},
			want: []string{"c1 grant", "c1 log", "f1 end"},
			gaps: []string{"host c1 lost lines of its log: lines=40"},
		},
		"unknown request": {logs: []string{logLine(1, "message=started host=c1")}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := story.NewReader("r1")
			for _, log := range c.logs {
				assert.NilError(t, r.Read(strings.NewReader(log)))
			}
			s := r.Story()
			var got []string
			for _, l := range s.Lines {
				got = append(got, string(l.Host)+" "+l.Step)
			}
			assert.DeepEqual(t, got, c.want)
			assert.Equal(t, len(s.Gaps), len(c.gaps), "%q", s.Gaps)
			for i, g := range c.gaps {
				assert.Assert(t, strings.Contains(s.Gaps[i], g), "%q", s.Gaps)
			}
		})
	}
}

// A line above the limit must fail the reading, since the rest of the log would be missing from the Story without notice.
func TestUnreadableLog(t *testing.T) {
	err := story.NewReader("r1").Read(strings.NewReader(strings.Repeat("x", 2<<20)))
	assert.ErrorContains(t, err, "read log")
}
