package cmds

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// commandVar names the environment variable with the arguments of the command that a process of TestHangupWhileSettingsAreRead runs.
const commandVar = "SHALLOTGAP_TEST_COMMAND"

// A SIGHUP that arrived before a host had read its settings ended the host. Commands of a terminal still end with it.
func TestHangupWhileSettingsAreRead(t *testing.T) {
	if args := os.Getenv(commandVar); args != "" {
		os.Exit(Run(strings.Split(args, " "), os.Stdout, os.Stderr))
	}
	cases := map[string]struct {
		args string
		ends bool
	}{
		"host":                {"platform", false},
		"command of terminal": {"check SETTINGS", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			settings := filepath.Join(t.TempDir(), "settings")
			assert.NilError(t, syscall.Mkfifo(settings, 0o600))
			p := exec.Command(os.Args[0], "-test.run", "^TestHangupWhileSettingsAreRead$")
			p.Env = append(os.Environ(), commandVar+"="+strings.Replace(c.args, "SETTINGS", settings, 1), "SHALLOTGAP_SETTINGS="+settings)
			assert.NilError(t, p.Start())
			w, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns once the process reads the file
			assert.NilError(t, err)
			assert.NilError(t, p.Process.Signal(syscall.SIGHUP))
			assert.NilError(t, p.Process.Signal(syscall.SIGHUP))
			_, _ = w.WriteString("no settings")
			assert.NilError(t, w.Close())
			var exit *exec.ExitError
			assert.Assert(t, errors.As(p.Wait(), &exit))
			status := exit.Sys().(syscall.WaitStatus)
			assert.Equal(t, status.Signaled(), c.ends, exit.String())
			if !c.ends {
				assert.Equal(t, Code(status.ExitStatus()), Usage)
			}
		})
	}
}
