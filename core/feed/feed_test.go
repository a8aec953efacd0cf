package feed_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/feed"
	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/state"
)

func edit(id string, from ident.RowVersion, version ident.Version) state.Command {
	row := rows.Row{Workspace: "w", Adapter: "a", Version: version, Weight: 1}
	return state.Command{Edit: &rows.Edit{ID: ident.EditID(id), Key: "w/a", From: from, Row: &row}}
}

func remove(id string, from ident.RowVersion) state.Command {
	return state.Command{Edit: &rows.Edit{ID: ident.EditID(id), Key: "w/a", From: from}}
}

// A follower must hold the same rows as the voter, even when edits were resent or rejected.
func TestFollowerHasSameRowsAsVoter(t *testing.T) {
	cases := map[string][]state.Command{
		"accepted edits":                       {edit("1", 0, "v1"), edit("2", 1, "v2")},
		"conflicting edit":                     {edit("1", 0, "v1"), edit("2", 0, "v2")},
		"resent after the row was deleted":     {edit("1", 0, "v1"), remove("2", 1), edit("1", 0, "v1")},
		"resent after the row was overwritten": {edit("1", 0, "v1"), edit("2", 1, "v2"), edit("1", 0, "v1")},
	}
	for name, commands := range cases {
		for _, method := range []string{"by commands", "by snapshot"} {
			t.Run(name+" "+method, func(t *testing.T) {
				voter, follower := state.New(), state.New()
				recent := feed.NewRecent(0)
				if method == "by snapshot" {
					recent = feed.NewRecent(1)
				}
				for n, c := range commands {
					i := ident.Index(n + 1)
					recent.Add(i, c, voter.Apply(i, c))
					follower = feed.Apply(follower, recent.Since(follower.Applied, voter))
				}
				assert.DeepEqual(t, follower.Rows.List(), voter.Rows.List())
				assert.Equal(t, follower.Applied, voter.Applied)
			})
		}
	}
}
