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

// Every reason of a rejection has a title for callers.
func TestEveryReasonHasATitle(t *testing.T) {
	reasons := constantsOf(t, "../../core/work/work.go", "Reason")
	assert.Assert(t, len(reasons) > 10, "found %d reasons", len(reasons))
	for _, r := range reasons {
		assert.Assert(t, ReasonTitles[work.Reason(r)] != "", "reason %s has no title", r)
	}
}

// Every reason of a rejection may spend an error budget, so the operators' manual lists it.
func TestEveryCauseIsDocumented(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATING.md")
	assert.NilError(t, err)
	for _, r := range constantsOf(t, "../../core/work/work.go", "Reason") {
		assert.Assert(t, strings.Contains(string(data), "`"+string(r)+"`"), "reason %s is not in docs/OPERATING.md", r)
	}
}

func TestDescribeDecision(t *testing.T) {
	cases := map[string]struct{ step, peer, cause, want string }{
		"known":           {"route", "g1", "resident", "endpoint g1 was chosen: its adapter is resident there"},
		"with detail":     {"answer", "g1", "broken dispatch g1: EOF", "endpoint g1 ended it: the request was sent, but no whole answer came dispatch g1: EOF"},
		"refused":         {"queue", "g1", "refused: late", "refused at queue g1: The deadline cannot be met. (late)"},
		"unknown step":    {"weigh", "g1", "batch", "weigh g1: batch"},
		"without a cause": {"route", "g1", "", "endpoint g1 was chosen"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, DescribeDecision(c.step, c.peer, c.cause), c.want) })
	}
}

// Every cause of a routing decision has a text.
func TestEveryRouteCauseIsExplained(t *testing.T) {
	for _, c := range constantsOf(t, "../../core/route/route.go", "Cause") {
		assert.Assert(t, causeTexts[c] != "", "cause %s has no text", c)
	}
}

// constantsOf returns the values of the string constants of type kind in a Go source file.
func constantsOf(t *testing.T, path, kind string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	assert.NilError(t, err)
	var list []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); ok && name.Name == kind {
			text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			assert.NilError(t, err)
			list = append(list, text)
		}
		return true
	})
	return list
}

// Package work does not define the reasons of errors in parsing a request, so this test lists them.
func TestParseReasonsHaveTitles(t *testing.T) {
	for _, r := range []work.Reason{"bad-json", "bad-model", "bad-timeout", "bad-urgency", "bad-key", "bad-deadline", "bad-body", "too-large"} {
		assert.Assert(t, ReasonTitles[r] != "", "%s has no title", r)
	}
}
