package token_test

import (
	"encoding/base64"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/io/token"
)

const secret = "0123456789abcdef"

// basicAuth returns the Authorization header of HTTP basic authentication.
func basicAuth(password string) string {
	return "Basic " + base64.StdEncoding.EncodeToString([]byte("anyone:"+password))
}

// writeTokens writes a token file and returns its name.
func writeTokens(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "tokens")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestReadRejectsInvalidFiles(t *testing.T) {
	cases := map[string]string{
		"no token":     "# nothing\n",
		"no name":      secret + "\n",
		"short":        "zahlwerk 1234\n",
		"three fields": "zahlwerk " + secret + " more\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := token.Read(writeTokens(t, text))
			assert.Assert(t, err != nil)
		})
	}
}

func TestCheckReturnsTokenName(t *testing.T) {
	l, err := token.Read(writeTokens(t, "# two partners\nzahlwerk "+secret+"\n\nmungitura "+strings.ToUpper(secret)+"\n"))
	assert.NilError(t, err)
	cases := map[string]struct {
		header, name string
		ok           bool
	}{
		"first token":                {header: "Bearer " + secret, name: "zahlwerk", ok: true},
		"second token":               {header: "Bearer " + strings.ToUpper(secret), name: "mungitura", ok: true},
		"no header":                  {},
		"prefix of a token":          {header: "Bearer " + secret[:15]},
		"basic auth":                 {header: basicAuth(secret), name: "zahlwerk", ok: true},
		"basic auth, wrong password": {header: basicAuth(secret + "x")},
		"basic auth, no password":    {header: basicAuth("")},
		"extra space":                {header: "Bearer  " + secret},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &http.Request{Header: http.Header{"Authorization": {c.header}}}
			got, ok := l.Check(r)
			assert.Equal(t, got, c.name)
			assert.Equal(t, ok, c.ok)
		})
	}
	assert.Equal(t, l.Header().Get("Authorization"), "Bearer "+secret)
}
