package scene

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/fakes/fleet"
	"shallotgap/io/cmds"
)

// postForm posts a web form as a browser does, without following the redirect.
func postForm(target string, headers map[string]string, fields url.Values) answer {
	req, err := http.NewRequest(http.MethodPost, target, strings.NewReader(fields.Encode()))
	if err != nil {
		return answer{Err: err}
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	return sendOnce(req)
}

// The web page edits rows: a form with an outdated row version shows both versions, an invalid form shows the reason, and
// cross-site posts are rejected.
func TestOperatorsPageEditsRows(t *testing.T) {
	f := newFleet(t, 1)
	out, code := command(f.Hosts[0], "table", "put", "dairy", "udder@v1", "--wait")
	assert.Equal(t, code, cmds.OK, out)
	from := jsonOf(rowOf(t, f.Hosts[0], "dairy", "udder").RowVersion)
	h := f.Hosts[4]
	cases := []struct {
		name    string
		headers map[string]string
		change  map[string]string
		status  int
		want    string
	}{
		{"cross-site Sec-Fetch-Site header", map[string]string{"Sec-Fetch-Site": "cross-site"}, nil, http.StatusForbidden, "cross-origin"},
		{"cross-site Origin header", map[string]string{"Origin": "http://other.test"}, nil, http.StatusForbidden, "cross-origin"},
		{"weight is not a number", nil, map[string]string{"weight": "many"}, http.StatusBadRequest, "not a whole number"},
		{"weight 0", nil, map[string]string{"weight": "0", "edit-id": "f0"}, http.StatusBadRequest, "outside 1 to"},
		{"valid edit", nil, nil, http.StatusSeeOther, ""},
		{"valid edit resent", nil, nil, http.StatusSeeOther, ""},
		{"outdated row version", nil, map[string]string{"edit-id": "f2", "version": "v3"}, http.StatusConflict, "differs\">v2"},
		{"markup in a name", nil, map[string]string{"edit-id": "f3", "adapter": "<b>x"}, http.StatusConflict, "&lt;b&gt;x"},
	}
	for _, c := range cases {
		fields := url.Values{
			"workspace": {"dairy"}, "adapter": {"udder"}, "version": {"v2"}, "previous": {"v1"}, "weight": {"2"},
			"max-running": {"0"}, "max-rate": {"0"}, "from": {from}, "edit-id": {"f1"}, "action": {"save"},
		}
		for name, value := range c.change {
			fields.Set(name, value)
		}
		a := postForm(h.URL()+"/admin/rows", c.headers, fields)
		assert.NilError(t, a.Err, c.name)
		assert.Equal(t, a.Status, c.status, "%s: %s", c.name, a.Body)
		assert.Assert(t, strings.Contains(a.Body, c.want), "%s: %s", c.name, a.Body)
	}
	// An accepted edit may reach host h later; the required limit is 3 s.
	inForce := func() bool { return string(rowOf(t, h, "dairy", "udder").Version) == "v2" }
	assert.Assert(t, fleet.Await(3*time.Second, inForce), "the edit is not in force")
	marked := postForm(h.URL()+"/admin/marks", nil, url.Values{"target": {"host"}, "name": {"e6"}, "edit-id": {"s1"}, "action": {"mark"}})
	assert.Equal(t, marked.Status, http.StatusSeeOther, marked.Body)
	safe := func() bool { return strings.Contains(fetch(h.URL()+"/admin/"), "safe to stop") }
	assert.Assert(t, awaitServed(safe), "host e6 does not become safe to stop")
	assert.Assert(t, strings.Contains(fetch(h.URL()+"/admin/report"), "Service-level burn"))
}
