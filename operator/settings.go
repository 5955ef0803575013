package operator

import (
	"net/url"
	"time"

	"github.com/hibiscusspur/hibiscusspur/config"
	"github.com/hibiscusspur/hibiscusspur/security"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// Settings configure how the operator commands reach the platform.
type Settings struct {
	// Platform is the base URL of the platform's table.
	Platform string            `yaml:"platform"`
	TLS      security.Settings `yaml:"tls,omitempty"`
	// Call is the timeout of one call to the platform.
	Call time.Duration `yaml:"call,omitempty"`
	// Author is written to the log of changes.
	Author string `yaml:"author,omitempty"`
	// MaxRecords is the maximum number of records in one change: what the platform accepts
	// in one transaction, less the two rows that every change writes.
	MaxRecords int `yaml:"max_records,omitempty"`
}

// Bounds of Settings.Call.
const (
	minCall = 10 * time.Millisecond
	maxCall = time.Minute
)

// DefaultSettings returns the defaults, which the fields of a settings file override.
func DefaultSettings() Settings {
	return Settings{Call: store.DefaultTimeout, MaxRecords: DefaultMaxRecords}
}

// LoadSettings reads a settings file.
func LoadSettings(file string) (Settings, error) {
	s := DefaultSettings()
	err := config.Load(file, &s)
	return s, err
}

// Check implements config.Validator.
func (s *Settings) Check(fail func(field, format string, args ...any)) {
	u, err := url.Parse(s.Platform)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		fail("platform", "must be a URL such as https://10.0.0.5:7000, is %q", s.Platform)
	}
	s.TLS.Check("tls", fail)
	if s.Call < minCall || s.Call > maxCall {
		fail("call", "must be between %v and %v, is %v", minCall, maxCall, s.Call)
	}
	if s.MaxRecords < minMaxRecords || s.MaxRecords > maxMaxRecords {
		fail("max_records", "must be between %d and %d, is %d", minMaxRecords, maxMaxRecords, s.MaxRecords)
	}
}

// Table returns a client of the platform's table.
func (s Settings) Table() (store.Table, error) {
	tlsConfig, err := s.TLS.Config()
	if err != nil {
		return nil, badInput("tls: %v", err)
	}
	return store.NewHTTPTable(s.Platform, store.NewClient(tlsConfig), store.Timeout(s.Call)), nil
}
