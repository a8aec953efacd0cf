package texts

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/work"
)

// Every reason for a refusal has its words for callers.
func TestEveryReasonHasATitle(t *testing.T) {
	reasons := reasonsOf(t)
	assert.Assert(t, len(reasons) > 10, "found %d reasons", len(reasons))
	for _, r := range reasons {
		assert.Assert(t, Titles[r] != "", "reason %s has no title", r)
	}
}

// Every reason that spends an error budget stands among the causes that operators look up.
func TestEveryCauseIsDocumented(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATING.md")
	assert.NilError(t, err)
	for _, r := range reasonsOf(t) {
		assert.Assert(t, strings.Contains(string(data), "`"+string(r)+"`"), "reason %s is not in docs/OPERATING.md", r)
	}
}

func TestSentence(t *testing.T) {
	cases := map[string]struct{ step, peer, cause, want string }{
		"known":           {"route", "g1", "resident", "endpoint g1 was chosen: its adapter is resident there"},
		"with detail":     {"answer", "g1", "broken dispatch g1: EOF", "endpoint g1 ended it: the request was sent, but no whole answer came dispatch g1: EOF"},
		"refused":         {"queue", "g1", "refused: late", "refused at queue g1: The deadline cannot be met. (late)"},
		"unknown step":    {"weigh", "g1", "batch", "weigh g1: batch"},
		"without a cause": {"route", "g1", "", "endpoint g1 was chosen"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, Sentence(c.step, c.peer, c.cause), c.want) })
	}
}

// reasonsOf reads the constants of type Reason from the source of package work.
func reasonsOf(t *testing.T) []work.Reason {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../../core/work/work.go", nil, 0)
	assert.NilError(t, err)
	var list []work.Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if kind, named := spec.Type.(*ast.Ident); named && kind.Name == "Reason" {
			text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			assert.NilError(t, err)
			list = append(list, work.Reason(text))
		}
		return true
	})
	return list
}
