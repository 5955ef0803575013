package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/operator"
)

func TestPageListsCommandsAndFlags(t *testing.T) {
	data, err := os.ReadFile("../../docs/CONTRACTS.md")
	assert.NilError(t, err)
	page := string(data)
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		if c.Runnable() {
			assert.Assert(t, strings.Contains(page, "`"+c.CommandPath()), c.CommandPath())
		}
		c.LocalFlags().VisitAll(func(f *pflag.Flag) {
			assert.Assert(t, strings.Contains(page, "--"+f.Name), "%s --%s", c.CommandPath(), f.Name)
		})
		for _, sub := range c.Commands() {
			walk(sub)
		}
	}
	for _, c := range []*cobra.Command{contractCmd(), backendCmd(), configCmd(), versionCmd()} {
		walk(c)
	}
}

// execute runs a command and returns its output, exit code and error.
func execute(cmd *cobra.Command, args ...string) (string, operator.Code, error) {
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetIn(strings.NewReader(""))
	cmd.SetArgs(args)
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	err := cmd.Execute()
	return out.String(), operator.CodeOf(err), err
}

func TestConfigCheck(t *testing.T) {
	for _, tc := range []struct{ kind, text, want string }{
		{"entry", "id: e\nzone: a\nlisten: 127.0.0.1:1\nadmin: 127.0.0.1:2\nplatform: http://127.0.0.1:3\n", ""},
		{"entry", "id: e\nzone: a\ntiming:\n  pol: 1s\n", "f.yaml:4: timing.pol: unknown key"},
		{"entry", "id: e\nzone: a\nlisten: 127.0.0.1:1\nadmin: 127.0.0.1:2\nplatform: http://h\ntiming: {poll: 9s}\n", "f.yaml:6: timing.poll: "},
		{"entry", "id: e\nzone: a\nlisten: 127.0.0.1:1\nadmin: 127.0.0.1:2\nplatform: http://h\nlog_level: loud\n", "f.yaml:6: log_level: must be one of"},
		{"sidecar", "id: s\nzone: a\nlisten: 127.0.0.1:1\nadmin: 127.0.0.1:2\nengine: http://h\nlog_level: loud\n", "f.yaml:6: log_level: must be one of"},
		{"sidecar", "id: s\nzone: a\nbounds:\n  runs: many\n", "f.yaml:4: bounds.runs: must be a whole number, is text"},
		{"sidecar", "zone: a\nlisten: 127.0.0.1:1\nadmin: 127.0.0.1:2\nengine: http://h\n", "f.yaml:1: id: is required"},
		{"operator", "platform: ftp://x\n", "f.yaml:1: platform: must be a URL"},
		{"contract", "", "f.yaml:1: document: is empty"},
		{"backend", "id: vm-1\nid: vm-2\n", "f.yaml:2: id: stands twice"},
		{"engine", "", "--kind must be one of"},
	} {
		file := filepath.Join(t.TempDir(), "f.yaml")
		assert.NilError(t, os.WriteFile(file, []byte(tc.text), 0o600))
		_, code, err := execute(configCmd(), "check", file, "--kind", tc.kind)
		if tc.want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorContains(t, err, tc.want)
		assert.Equal(t, code, operator.CodeInput)
	}
}

func TestUsageErrorsAndVersion(t *testing.T) {
	for _, args := range [][]string{
		{"apply"}, {"list"}, {"list", "--platform", "http://127.0.0.1:1", "-o", "xml"}, {"nonsense", "--x"},
		{"apply", "--platform", "http://127.0.0.1:1", "-f", "contract.go", "--prune"},
	} {
		_, code, err := execute(contractCmd(), args...)
		assert.Equal(t, code, operator.CodeInput, "%v: %v", args, err)
	}
	out, _, err := execute(versionCmd())
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "protocol 1\n"), out)
}
