package scene

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/rows"
	"shallotgap/fakes/fleet"
	"shallotgap/io/cmds"
)

// command runs a shallotgap command against host h and returns the output and the exit code.
func command(h *fleet.Host, args ...string) (string, cmds.Code) {
	var out bytes.Buffer
	code := cmds.Run(append(args, "--entry", h.URL()), &out, &out)
	return out.String(), cmds.Code(code)
}

// Two operators edit the same row version at two hosts: one edit is accepted, the other one fails and shows both versions.
func TestOperatorsConcurrentEditsConflict(t *testing.T) {
	f := newFleet(t, 1)
	out, code := command(f.Hosts[0], "table", "put", "dairy", "udder@v1", "--wait")
	assert.Equal(t, code, cmds.OK, out)
	assert.Assert(t, strings.Contains(out, "in force on 7 of 7 hosts"), out)
	row := rowOf(t, f.Hosts[6], "dairy", "udder")
	from := "--from=" + jsonOf(row.RowVersion)
	out, code = command(f.Hosts[1], "table", "put", "dairy", "udder@v2", from, "--wait")
	assert.Equal(t, code, cmds.OK, out)
	out, code = command(f.Hosts[2], "table", "put", "dairy", "udder@v3", from)
	assert.Equal(t, code, cmds.Conflict, out)
	assert.Assert(t, strings.Contains(out, "YOURS") && strings.Contains(out, "v3") && strings.Contains(out, "v2"), out)
	assert.Equal(t, string(rowOf(t, f.Hosts[2], "dairy", "udder").Version), "v2")
}

// An edit that is sent again with the same edit id gets the first answer and is applied only once. A host that is down
// gives the exit code for no answer.
func TestOperatorsResendGetsTheFirstAnswer(t *testing.T) {
	f := newFleet(t, 1)
	first, code := command(f.Hosts[0], "table", "put", "dairy", "udder@v1", "--edit-id", "a1", "--wait")
	assert.Equal(t, code, cmds.OK, first)
	before := rowOf(t, f.Hosts[0], "dairy", "udder")
	again, code := command(f.Hosts[3], "table", "put", "dairy", "udder@v1", "--edit-id", "a1", "--wait")
	assert.Equal(t, code, cmds.OK, again)
	assert.Equal(t, strings.Split(first, "\n")[0], strings.Split(again, "\n")[0])
	assert.Equal(t, rowOf(t, f.Hosts[0], "dairy", "udder"), before)
	f.Kill(f.Hosts[5])
	out, code := command(f.Hosts[5], "table", "delete", "dairy", "udder", "--edit-id", "a2")
	assert.Equal(t, code, cmds.NoAnswer, out)
}

// An import of an unedited export changes no row, an edited line changes only its row, and an outdated copy conflicts.
func TestOperatorsImportExportRoundTrip(t *testing.T) {
	f := newFleet(t, 1)
	h := f.Hosts[2]
	for _, model := range []string{"udder@v1", "notes@v1"} {
		out, code := command(h, "table", "put", "dairy", model, "--wait")
		assert.Equal(t, code, cmds.OK, out)
	}
	file := filepath.Join(t.TempDir(), "rows.csv")
	exported, code := command(h, "table", "export")
	assert.Equal(t, code, cmds.OK, exported)
	steps := []struct {
		name, sheet, want string
		code              cmds.Code
	}{
		{"unedited export", exported, "0 accepted, 2 unchanged", cmds.OK},
		{"one line edited", strings.ReplaceAll(exported, "udder,v1", "udder,v2"), "1 accepted, 1 unchanged", cmds.OK},
		{"outdated copy", strings.ReplaceAll(exported, "udder,v1", "udder,v3"), "0 accepted, 1 unchanged, 1 in conflict", cmds.Conflict},
		{"weight 0", "workspace,adapter,version,weight\ndairy,udder,v9,0\n", "1 refused", cmds.Refused},
		{"duplicate row", "workspace,adapter,version\ndairy,a,v1\ndairy,a,v2\n", "line 3: row dairy/a stands in line 2", cmds.Usage},
		{"weight is not a number", "workspace,adapter,version,weight\ndairy,udder,v9,many\n", "line 2: column weight", cmds.Usage},
	}
	for _, s := range steps {
		assert.NilError(t, os.WriteFile(file, []byte(s.sheet), 0o600))
		out, code := command(h, "table", "import", file, "--wait")
		assert.Equal(t, code, s.code, "%s: %s", s.name, out)
		assert.Assert(t, strings.Contains(out, s.want), "%s: %s", s.name, out)
	}
	assert.Equal(t, string(rowOf(t, h, "dairy", "udder").Version), "v2")
}

// rowOf reads a row through host h.
func rowOf(t *testing.T, h *fleet.Host, workspace, adapter string) rows.Row {
	t.Helper()
	out, code := command(h, "table", "get", workspace, adapter, "--json")
	assert.Equal(t, code, cmds.OK, out)
	var row rows.Row
	assert.NilError(t, json.Unmarshal([]byte(out), &row))
	return row
}

// jsonOf returns the JSON form of a value.
func jsonOf(v any) string {
	data, _ := json.Marshal(v)
	return string(data)
}
