package cmds

import (
	"errors"
	"os"
	"os/exec"
	"os/signal"
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
		"command of terminal": {"check SETTINGS", !signal.Ignored(syscall.SIGHUP)}, // nohup holds for the command, too
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
			if !c.ends {
				_, _ = w.WriteString("no settings")
				assert.NilError(t, w.Close())
			}
			var exit *exec.ExitError
			assert.Assert(t, errors.As(p.Wait(), &exit))
			_ = w.Close() // only now for a command that ends: it could read what is written before the system delivers the signal
			status := exit.Sys().(syscall.WaitStatus)
			if c.ends {
				assert.Equal(t, status.Signal(), syscall.SIGHUP, exit.String())
			} else {
				assert.Equal(t, Code(status.ExitStatus()), Usage, exit.String())
			}
		})
	}
}
