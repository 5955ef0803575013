package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type level int

func (l *level) UnmarshalText(text []byte) error {
	if string(text) != "low" {
		return fmt.Errorf("%q is not a level", text)
	}
	*l = 1
	return nil
}

type peer struct {
	Name string        `yaml:"name"`
	Wait time.Duration `yaml:"wait"`
}

type settings struct {
	Name  string            `yaml:"name"`
	Port  int               `yaml:"port"`
	Small uint8             `yaml:"small"`
	Ratio float64           `yaml:"ratio"`
	On    bool              `yaml:"on"`
	Level level             `yaml:"level"`
	Main  peer              `yaml:"main"`
	Peers []peer            `yaml:"peers"`
	Tags  map[string]string `yaml:"tags"`
}

func (s *settings) Check(fail func(field, format string, args ...any)) {
	if s.Name == "" {
		fail("name", "is missing")
	}
	if s.Port < 0 || s.Port > 65535 {
		fail("port", "must be between 0 and 65535, is %d", s.Port)
	}
	for i, p := range s.Peers {
		if p.Name == "" {
			fail(fmt.Sprintf("peers[%d].name", i), "is missing")
		}
	}
}

func TestErrorsNameFileLineAndField(t *testing.T) {
	for _, tc := range []struct{ name, doc, want string }{
		{"unknown key", "name: a\nprot: 1\n", "f:2: prot: unknown key"},
		{"unknown nested key", "name: a\nmain:\n  name: b\n  weit: 1s\n", "f:4: main.weit: unknown key"},
		{"unknown key in a list", "name: a\npeers:\n  - name: b\n  - name: c\n    x: 1\n", "f:5: peers[1].x: unknown key"},
		{"several at once", "nam: a\nport: b\n", "f:1: nam: unknown key\nf:2: port: must be a whole number, is text"},
		{"text for a number", "name: a\nport: many\n", "f:2: port: must be a whole number, is text"},
		{"fraction for a whole number", "name: a\nport: 1.5\n", "f:2: port: must be a whole number, is 1.5"},
		{"number for text", "name: 12\n", "f:1: name: must be text (put it in quotes), is 12"},
		{"text for a switch", "name: a\non: maybe\n", "f:2: on: must be true or false, is text"},
		{"text for a ratio", "name: a\nratio: half\n", "f:2: ratio: must be a number, is text"},
		{"list for a mapping", "name: a\nmain: [1]\n", "f:2: main: must be a mapping, is a list"},
		{"mapping for a list", "name: a\npeers:\n  name: b\n", "f:3: peers: must be a list, is a mapping"},
		{"list at the top", "- name: a\n", "f:1: document: must be a mapping, is a list"},
		{"overflow", "name: a\nsmall: 300\n", "f:2: small: "},
		{"out of range", "name: a\nport: 70000\n", "f:2: port: must be between 0 and 65535, is 70000"},
		{"missing", "port: 1\n", "f:1: name: is missing"},
		{"missing in a list", "name: a\npeers:\n  - name: b\n  - wait: 1s\n", "f:4: peers[1].name: is missing"},
		{"duplicate", "name: a\nmain:\n  name: b\n  name: c\n", "f:4: main.name: stands twice; first on line 3"},
		{"duration without unit", "name: a\nmain: {name: b, wait: 800}\n", "f:2: main.wait: must be a duration"},
		{"bad duration", "name: a\nmain: {name: b, wait: 8 parsecs}\n", "f:2: main.wait: must be a duration"},
		{"bad text value", "name: a\nlevel: high\n", "f:2: level: \"high\" is not a level"},
		{"not YAML", "name: [a\nport: 1\n", "document: is not YAML"},
		{"tabs", "main:\n\tname: a\n", "f:2: document: is not YAML"},
		{"empty", "", "f:1: document: is empty"},
		{"comments only", "# nothing\n", "f:1: document: is empty"},
		{"two documents", "name: a\n---\nname: b\n", "f:3: document: a second document"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := Parse("f", []byte(tc.doc), new(settings))
			var faults Errors
			assert.Assert(t, errors.As(err, &faults), "%v", err)
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func TestLoadKeepsDefaultsOfAbsentFields(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.yaml")
	doc := "name: &n a\nmain: {name: *n, wait: 1500ms}\nlevel: low\ntags: {x: y}\nratio: 1\n"
	assert.NilError(t, os.WriteFile(path, []byte(doc), 0o600))
	s := settings{Port: 7}
	assert.NilError(t, Load(path, &s))
	want := settings{Name: "a", Port: 7, Level: 1, Ratio: 1, Main: peer{"a", 1500 * time.Millisecond}, Tags: map[string]string{"x": "y"}}
	assert.DeepEqual(t, s, want)
}
