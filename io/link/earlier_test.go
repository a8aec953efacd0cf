package link_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/book"
	"shallotgap/core/wire"
	"shallotgap/fakes/fill"
	"shallotgap/io/link"
)

var (
	writeEncodings = flag.String("write-encodings", "", "file to which the encodings of this build are written, for the tests of others")
	otherEncodings = flag.String("other-encodings", "", "encodings of another build, later or earlier, that this one must read")
)

// earlierEncodings are the messages, log entries and snapshots of commit dc63640, written with -write-encodings.
const earlierEncodings = "testdata/earlier.cbor"

// encoding is a message, log entry or snapshot by name.
type encoding struct {
	// decode reads what another build has written, and returns it as this build writes it.
	decode func([]byte) ([]byte, error)
	own    []byte // as this build writes it, with no field empty
}

func recode[T any](data []byte) ([]byte, error) {
	var x T
	if err := wire.Unmarshal(data, &x); err != nil {
		return nil, err
	}
	return wire.Marshal(x)
}

// encodings returns all that hosts send to each other or keep on the disk.
func encodings(t *testing.T) map[string]encoding {
	t.Helper()
	list := map[string]encoding{}
	add := func(name string, x any, decode func([]byte) ([]byte, error)) {
		data, err := wire.Marshal(x)
		assert.NilError(t, err)
		list[name] = encoding{decode, data}
	}
	for name, m := range fill.Variants[link.Message]() {
		add("message "+name, m, recode[link.Message])
	}
	for name, c := range fill.Variants[book.Command]() {
		add("command "+name, c, recode[book.Command])
	}
	b := book.New()
	commands := fill.Variants[book.Command]()
	for _, name := range slices.Sorted(maps.Keys(commands)) {
		b.Apply(*commands[name])
	}
	data, err := b.Snapshot()
	assert.NilError(t, err)
	list["snapshot"] = encoding{func(data []byte) ([]byte, error) {
		b, err := book.Restore(data)
		if err != nil {
			return nil, err
		}
		return b.Snapshot()
	}, data}
	return list
}

// Builds run side by side, so that each must read the messages, log entries and snapshots of the other. Nothing that an earlier build writes is lost.
func TestEncodingsOfEarlierBuild(t *testing.T) {
	own := encodings(t)
	for name, data := range readEncodings(t, earlierEncodings) {
		e, known := own[name]
		assert.Assert(t, known, "%s is not known any more", name)
		again, err := e.decode(data)
		assert.NilError(t, err, name)
		lost, _ := compare(t, data, again)
		assert.Check(t, len(lost) == 0, "%s: lost or changed: %v", name, lost)
	}
}

// What this build shares with another one has the same meaning to it: read here, the other's encodings give those of this build, without fields that
// the other does not know. Run by hand on both builds, with -other-encodings.
func TestEncodingsOfOtherBuild(t *testing.T) {
	own := encodings(t)
	if *writeEncodings != "" {
		list := map[string][]byte{}
		for name, e := range own {
			list[name] = e.own
		}
		data, err := wire.Marshal(list)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(*writeEncodings, data, 0o600))
	}
	if *otherEncodings == "" {
		return
	}
	other := readEncodings(t, *otherEncodings)
	for name, e := range own {
		data, known := other[name]
		if !known {
			t.Logf("%s: not known to the other build", name)
			continue
		}
		again, err := e.decode(data)
		assert.NilError(t, err, name)
		changed, unknown := compare(t, again, e.own)
		assert.Check(t, len(changed) == 0, "%s: %v", name, changed)
		if len(unknown) > 0 {
			t.Logf("%s: not known to the other build: %v", name, unknown)
		}
	}
}

// compare returns the paths in one encoding that another lacks or has another value for, and those that only the other has.
func compare(t *testing.T, one, other []byte) (lost, added []string) {
	t.Helper()
	var x, y any
	assert.NilError(t, wire.Unmarshal(one, &x))
	assert.NilError(t, wire.Unmarshal(other, &y))
	a, b := leaves(x, ""), leaves(y, "")
	for path, v := range a {
		if w, found := b[path]; !found || w != v {
			lost = append(lost, path)
		}
	}
	for path := range b {
		if _, found := a[path]; !found {
			added = append(added, path)
		}
	}
	slices.Sort(lost)
	slices.Sort(added)
	return lost, added
}

// leaves returns the values in a decoded value by their paths.
func leaves(x any, path string) map[string]string {
	list := map[string]string{}
	switch x := x.(type) {
	case map[any]any:
		for k, v := range x {
			maps.Copy(list, leaves(v, fmt.Sprint(path, ".", k)))
		}
	case []any:
		for i, v := range x {
			maps.Copy(list, leaves(v, fmt.Sprint(path, "[", i, "]")))
		}
	default:
		list[path] = fmt.Sprintf("%q", fmt.Sprint(x))
	}
	return list
}

func readEncodings(t *testing.T, file string) map[string][]byte {
	t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	var list map[string][]byte
	assert.NilError(t, wire.Unmarshal(data, &list))
	return list
}
