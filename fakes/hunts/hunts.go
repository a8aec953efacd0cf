// Package hunts checks the journal entries of hunts on the platform's bench.
package hunts

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// ErrNotClean is returned when a checked hunt is not clean or none was found.
var ErrNotClean = errors.New("no clean hunt")

// Command checks hunts. The bench's line "0 with a rule broken" leaves out days that miss the gate, so it is not enough.
type Command struct {
	Journal string   `default:"journal" help:"Folder of the journal."`
	Entries []string `arg:"" optional:"" help:"Ids of entries of hunts or single days; without any, the newest hunt of each site is checked."`
}

// Run prints the result of each hunt and its days that are not clean. It returns ErrNotClean if a hunt is not clean.
func (c Command) Run() error { return c.check(os.Stdout) }

// entry is a journal entry.
type entry struct {
	ID      string   `json:"id"`
	Command string   `json:"cmd"`
	Args    []string `json:"argv"` // begins with the site file
	Site    string   `json:"site"` // empty if the hunt did not finish
	Head    string   `json:"head"`
	Dirty   bool     `json:"dirty"`
	Error   any      `json:"error"`
	Days    []day    `json:"days"`
}

// day is a day that was played.
type day struct {
	Name  string         `json:"name"`
	Rules map[string]any `json:"rules"` // broken rules
	Short []string       `json:"short"` // figures that miss the gate
	Fault any            `json:"fault"`
}

// problems returns why the day is not clean, or nothing if it is.
func (d day) problems() []string {
	var list []string
	for rule, detail := range d.Rules {
		list = append(list, fmt.Sprintf("rule %s broken: %v", rule, detail))
	}
	slices.Sort(list)
	for _, s := range d.Short {
		list = append(list, "short: "+s)
	}
	if d.Fault != nil {
		list = append(list, fmt.Sprintf("fault: %v", d.Fault))
	}
	return list
}

// problems returns why the hunt is not clean, or nothing if it is.
func (e entry) problems() []string {
	var list []string
	if e.Error != nil {
		list = append(list, fmt.Sprintf("error: %v", e.Error))
	}
	if len(e.Days) == 0 {
		list = append(list, "no day was played")
	}
	for _, d := range e.Days {
		for _, p := range d.problems() {
			list = append(list, d.Name+": "+p)
		}
	}
	return list
}

func (c Command) check(out io.Writer) error {
	hunts, err := c.read()
	if err != nil {
		return err
	}
	clean := len(hunts) > 0
	for _, e := range hunts {
		problems := e.problems()
		verdict := "clean"
		if len(problems) > 0 {
			verdict, clean = "not clean", false
		}
		changes := ""
		if e.Dirty {
			changes = " with changes"
		}
		_, _ = fmt.Fprintf(out, "%s %s: %d days on commit %.7s%s, %s\n", e.ID, e.Site, len(e.Days), e.Head, changes, verdict)
		for _, p := range problems {
			_, _ = fmt.Fprintf(out, "  %s\n", p)
		}
	}
	if !clean {
		return ErrNotClean
	}
	return nil
}

// read returns the hunts to check, ordered by the time of their start.
func (c Command) read() ([]entry, error) {
	files, err := filepath.Glob(filepath.Join(c.Journal, "*.json")) // sorted; the names begin with the time
	if err != nil {
		return nil, err
	}
	var list []entry
	for _, f := range files {
		id := strings.TrimSuffix(f[strings.LastIndex(f, "-")+1:], ".json")
		if len(c.Entries) > 0 && !slices.Contains(c.Entries, id) {
			continue
		}
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		var e entry
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, fmt.Errorf("read %s: %w", f, err)
		}
		if e.Site == "" && len(e.Args) > 0 {
			e.Site = strings.TrimSuffix(filepath.Base(e.Args[0]), ".toml")
		}
		if e.Command == "hunt" || (e.Command == "run" && len(c.Entries) > 0) {
			list = append(list, e)
		}
	}
	if len(c.Entries) > 0 {
		if len(list) < len(c.Entries) {
			return nil, fmt.Errorf("found %d hunts or days for the ids %v", len(list), c.Entries)
		}
		return list, nil
	}
	return newestOfEachSite(list), nil
}

func newestOfEachSite(list []entry) []entry {
	seen := map[string]bool{}
	var newest []entry
	for _, e := range slices.Backward(list) {
		if !seen[e.Site] {
			seen[e.Site] = true
			newest = append(newest, e)
		}
	}
	slices.Reverse(newest)
	return newest
}
