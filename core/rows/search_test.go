package rows_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
)

func TestSearch(t *testing.T) {
	table := rows.New()
	for i, name := range []ident.Adapter{"cow", "hen", "pig"} {
		for _, w := range []ident.Workspace{"east", "west"} {
			row := rows.Row{Workspace: w, Adapter: name, Version: "v1", Previous: "v0", Weight: 1}
			e := rows.Edit{ID: ident.EditID(string(w) + string(name)), Key: rows.KeyOf(w, name), Row: &row}
			assert.Equal(t, table.Apply(ident.Index(2*i+1), e).Verdict, rows.Accepted)
		}
	}
	cases := map[string]struct {
		query rows.Query
		want  []rows.RowKey
		next  rows.RowKey
	}{
		"all":             {want: []rows.RowKey{"east/cow", "east/hen", "east/pig", "west/cow", "west/hen", "west/pig"}},
		"first page":      {query: rows.Query{Limit: 2}, want: []rows.RowKey{"east/cow", "east/hen"}, next: "east/hen"},
		"last page":       {query: rows.Query{Limit: 2, After: "west/cow"}, want: []rows.RowKey{"west/hen", "west/pig"}},
		"one workspace":   {query: rows.Query{Workspace: "west", Limit: 1}, want: []rows.RowKey{"west/cow"}, next: "west/cow"},
		"text in the key": {query: rows.Query{Text: "pi"}, want: []rows.RowKey{"east/pig", "west/pig"}},
		"text in version": {query: rows.Query{Text: "v0", Workspace: "east"}, want: []rows.RowKey{"east/cow", "east/hen", "east/pig"}},
		"no match":        {query: rows.Query{Text: "yak"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			list, next := table.Search(c.query)
			var keys []rows.RowKey
			for _, r := range list {
				keys = append(keys, rows.KeyOf(r.Workspace, r.Adapter))
			}
			assert.DeepEqual(t, keys, c.want)
			assert.Equal(t, next, c.next)
		})
	}
}
