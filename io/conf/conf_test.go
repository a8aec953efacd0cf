package conf

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const hosts = `
[host.e1]
domain = a
listen = 127.0.0.1:7100
peer = 127.0.0.1:7200
disk = true
[host.e2]
domain = b
listen = 127.0.0.2:7100
peer = 127.0.0.2:7200
`

func TestLoad(t *testing.T) {
	self := "[self]\nname = e1\ndata-folder = data\n"
	cases := map[string]struct{ text, want string }{
		"valid":                     {text: self + hosts},
		"unknown section":           {text: self + hosts + "[nest]\n", want: "[nest] : unknown section"},
		"unknown key":               {text: self + "colour = red\n" + hosts, want: "[self] colour: unknown key"},
		"key without section":       {text: "name = e1\n" + self + hosts, want: "unknown section"},
		"duration without unit":     {text: self + hosts + "[callers]\nentry-life = 5\n", want: "[callers] entry-life: want a positive duration"},
		"negative rate":             {text: self + hosts + "[store]\nloads-per-second = -1\n", want: "[store] loads-per-second: want a positive number"},
		"self without host section": {text: "[self]\nname = e9\n" + hosts, want: "[self] name: no section [host.e9]"},
		"address with host name":    {text: self + strings.Replace(hosts, "127.0.0.2:7100", "box:7100", 1), want: "[host.e2] listen: \"box:7100\" is not IP:PORT"},
		"clashing listen":           {text: self + strings.Replace(hosts, "127.0.0.2:7100", "127.0.0.1:7100", 1), want: "[host.e2] listen: 127.0.0.1:7100 is also used by host e1"},
		"clashing peer":             {text: self + strings.Replace(hosts, "127.0.0.2:7200", "127.0.0.1:7100", 1), want: "[host.e2] peer: 127.0.0.1:7100 is also used by host e1"},
		"data folder without disk":  {text: "[self]\nname = e2\ndata-folder = data\n" + hosts, want: "[self] data-folder: must be set"},
		"unknown log level":         {text: self + "log-level = loud\n" + hosts, want: "[self] log-level: want debug"},
		"two voters":                {text: self + hosts + "[quorum]\nvoters = 2\n", want: "[quorum] voters: 2: want 1, 3 or 5"},
		"more voters than disks":    {text: self + hosts + "[quorum]\nvoters = 3\n", want: "[quorum] voters: 3: want 1, 3 or 5, and at least as many"},
		"listen not on loopback":    {text: self + strings.Replace(hosts, "127.0.0.1:7100", "10.0.0.1:7100", 1), want: "[host.e1] listen: only a loopback address"},
		"peer not on loopback":      {text: self + strings.Replace(hosts, "127.0.0.1:7200", "10.0.0.1:7200", 1), want: "[host.e1] peer: only a loopback address"},
		"missing token file":        {text: self + hosts + "[tokens]\ncallers = /none\n", want: "[tokens] callers: open /none"},
		"share of 1":                {text: self + hosts + "[objectives]\nfirst-token-share = 1\n", want: "[objectives] first-token-share: want a share"},
		"windows in falling order":  {text: self + hosts + "[objectives]\nwindows = 1h, 5m\n", want: "[objectives] windows: want the shortest"},
		"window without unit":       {text: self + hosts + "[objectives]\nwindows = 5m, 60\n", want: "[objectives] windows: \"60\" is not"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "e1.ini")
			assert.NilError(t, os.WriteFile(file, []byte(c.text), 0o600))
			_, err := Load(file)
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
			assert.ErrorContains(t, err, file)
		})
	}
}

// Every settings key has a table row in docs/CONFIG.md under its section.
func TestEveryKeyIsDocumented(t *testing.T) {
	data, err := os.ReadFile("../../docs/CONFIG.md")
	assert.NilError(t, err)
	sections := map[string]string{}
	for _, part := range strings.Split(string(data), "\n## ")[1:] {
		title, body, _ := strings.Cut(part, "\n")
		sections[strings.Trim(title, "[]`")] = body
	}
	for section, keys := range sectionKeys {
		for _, key := range keys {
			assert.Assert(t, strings.Contains(sections[section], "| `"+key+"` |"), "[%s] %s is not in docs/CONFIG.md", section, key)
		}
	}
}
