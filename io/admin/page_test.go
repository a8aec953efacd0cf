package admin

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/rows"
)

// Saving a form replaces the whole row, so a field missing from the form would be reset by an edit of another field.
func TestRowFormCoversEveryField(t *testing.T) {
	form := url.Values{
		"workspace": {"w"}, "adapter": {"a"}, "version": {"v2"}, "previous": {"v1"}, "base": {"large"}, "weight": {"3"},
		"max-running": {"4"}, "max-rate": {"5"}, "from": {"6"}, "edit-id": {"e"},
	}
	r := httptest.NewRequest(http.MethodPost, "/admin/rows", strings.NewReader(form.Encode()))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	e, err := parseEdit(r)
	assert.NilError(t, err)
	assert.DeepEqual(t, *e.Row, rows.Row{Workspace: "w", Adapter: "a", Version: "v2", Previous: "v1", Base: "large", Weight: 3, MaxRunning: 4, MaxRate: 5})
	page, err := pages.ReadFile("pages/table.html")
	assert.NilError(t, err)
	for name := range form {
		assert.Assert(t, strings.Contains(string(page), `name="`+name+`"`), "the page has no input %s", name)
	}
}
