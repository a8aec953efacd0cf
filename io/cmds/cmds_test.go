package cmds

import (
	"bytes"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/world"
	"shallotgap/io/admin"
	"shallotgap/io/host"
	"shallotgap/io/texts"
)

// Every example in the help texts parses.
func TestExamplesParse(t *testing.T) {
	for command, lines := range texts.ExampleArgs() {
		for _, args := range lines {
			parser, err := kong.New(&CLI{}, kong.Name("shallotgap"))
			assert.NilError(t, err)
			parsed, err := parser.Parse(args)
			assert.NilError(t, err, "%v", args)
			assert.Assert(t, parsed.Selected() != nil, command)
		}
	}
}

// Every command except version has examples in its help.
func TestEveryCommandHasExamples(t *testing.T) {
	parser, err := kong.New(&CLI{}, kong.Name("shallotgap"))
	assert.NilError(t, err)
	for _, leaf := range parser.Model.Leaves(true) {
		name := commandOf(leaf.Path())
		if name != "version" {
			assert.Assert(t, texts.ExamplesOf(name) != "", "command %q has no examples", name)
		}
	}
}

func TestExitCodes(t *testing.T) {
	cases := map[string]struct {
		args []string
		code Code
	}{
		"unknown command":  {args: []string{"tabel"}, code: Usage},
		"bad model":        {args: []string{"table", "put", "w", "no-version"}, code: Usage},
		"bad target":       {args: []string{"stop", "mark", "rack", "r1"}, code: Usage},
		"no settings file": {args: []string{"check", "no-such-file.ini"}, code: Usage},
		"bad request id":   {args: []string{"explain", "nonsense"}, code: Usage},
		"no host listens":  {args: []string{"table", "list", "--entry", "http://127.0.0.1:1"}, code: NoAnswer},
		"no token file":    {args: []string{"table", "list", "--token-file", "no-such-file"}, code: Usage},
		"version":          {args: []string{"version"}, code: OK},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			assert.Equal(t, Code(Run(c.args, &out, &out)), c.code, out.String())
		})
	}
}

// Notes are sorted by wall clock across hosts, but the notes of one host keep their order even if the clock of
// that host was set back.
func TestMergedNotesKeepEachHostsOrder(t *testing.T) {
	noted := func(h ident.HostID, at ident.Time, wall int64, step string) host.Note {
		return host.Note{Note: world.Note{At: at, Step: step}, Host: h, Wall: time.UnixMilli(wall)}
	}
	list := []hostAnswer[[]host.Note]{
		{Host: admin.Host{Host: "e1"}, Answer: []host.Note{noted("e1", 1, 100, "route"), noted("e1", 9, 90, "refuse")}},
		{Host: admin.Host{Host: "e2"}, Answer: []host.Note{noted("e2", 500, 101, "queue"), noted("e2", 501, 105, "answer")}},
		{Host: admin.Host{Host: "e3"}, Err: "no route"},
	}
	e := mergeNotes("r", list)
	var steps []string
	for _, n := range e.Notes {
		steps = append(steps, n.Step)
	}
	assert.DeepEqual(t, steps, []string{"route", "refuse", "queue", "answer"})
	assert.DeepEqual(t, e.Silent, []ident.HostID{"e3"})
}
