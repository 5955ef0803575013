package contract

import (
	"fmt"
	"math"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/hibiscusspur/hibiscusspur/config"
)

// Defaults of optional fields.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultServiceTimeout = 30 * time.Second
)

// urgencyUnset is the urgency of a parsed class without one.
const urgencyUnset Urgency = -1

var urgencyNames = map[Urgency]string{
	Interactive: "interactive",
	Prompt:      "prompt",
	Deferred:    "deferred",
}

// String returns the name of u in YAML.
func (u Urgency) String() string {
	if name, ok := urgencyNames[u]; ok {
		return name
	}
	return fmt.Sprintf("urgency(%d)", int(u))
}

// MarshalText implements encoding.TextMarshaler. It fails for an undefined urgency.
func (u Urgency) MarshalText() ([]byte, error) {
	name, ok := urgencyNames[u]
	if !ok {
		return nil, fmt.Errorf("undefined urgency %d", int(u))
	}
	return []byte(name), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (u *Urgency) UnmarshalText(text []byte) error {
	for value, name := range urgencyNames {
		if name == string(text) {
			*u = value
			return nil
		}
	}
	return fmt.Errorf("%q is not an urgency; use interactive, prompt or deferred", text)
}

// UnmarshalYAML decodes a class. It distinguishes a missing urgency from interactive,
// the zero value.
func (c *Class) UnmarshalYAML(unmarshal func(any) error) error {
	type plain Class
	p := plain{Urgency: urgencyUnset}
	if err := unmarshal(&p); err != nil {
		return err
	}
	*c = Class(p)
	return nil
}

// Parse decodes and validates a contract. Invalid input is reported as config.Errors,
// which name file, line and field.
func Parse(file string, data []byte) (*Contract, error) {
	c := new(Contract)
	if err := config.Parse(file, data, c); err != nil {
		return nil, err
	}
	return c, nil
}

// Marshal returns the canonical YAML of c, with all defaults written out.
func (c *Contract) Marshal() ([]byte, error) {
	return yaml.Marshal(c)
}

// ParseBackend decodes and validates the record of a backend server. Invalid input is
// reported as config.Errors, which name file, line and field.
func ParseBackend(file string, data []byte) (*Backend, error) {
	b := new(Backend)
	if err := config.Parse(file, data, b); err != nil {
		return nil, err
	}
	return b, nil
}

// Marshal returns the canonical YAML of b.
func (b *Backend) Marshal() ([]byte, error) {
	return yaml.Marshal(b)
}

// setDefaults sets the default of each missing optional field.
func (c *Contract) setDefaults() {
	if c.Limits.Burst == 0 && c.Limits.RequestsPerSecond > 0 {
		c.Limits.Burst = int(math.Ceil(min(c.Limits.RequestsPerSecond, maxBurst)))
	}
	if c.Limits.MaxBodyBytes == 0 {
		c.Limits.MaxBodyBytes = DefaultMaxBodyBytes
	}
	for i := range c.Services {
		if c.Services[i].Timeout == 0 {
			c.Services[i].Timeout = DefaultServiceTimeout
		}
	}
}
