package token_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/io/token"
)

const secret = "0123456789abcdef"

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "tokens")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestReadRefusesWhatIsNoTokenFile(t *testing.T) {
	cases := map[string]string{
		"empty":        "# nothing\n",
		"no name":      secret + "\n",
		"short":        "zahlwerk 1234\n",
		"three fields": "zahlwerk " + secret + " more\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := token.Read(write(t, text))
			assert.Assert(t, err != nil)
		})
	}
}

func TestCheckNamesTheToken(t *testing.T) {
	l, err := token.Read(write(t, "# two partners\nzahlwerk "+secret+"\n\nmungitura "+strings.ToUpper(secret)+"\n"))
	assert.NilError(t, err)
	cases := map[string]struct {
		header, name string
		ok           bool
	}{
		"first":      {header: "Bearer " + secret, name: "zahlwerk", ok: true},
		"second":     {header: "Bearer " + strings.ToUpper(secret), name: "mungitura", ok: true},
		"none":       {},
		"part":       {header: "Bearer " + secret[:15]},
		"with space": {header: "Bearer  " + secret},
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
