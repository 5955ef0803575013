package config

import (
	"cmp"
	"net/netip"
)

// Fail reports an invalid value. field is its YAML path.
type Fail func(field, format string, args ...any)

// CheckRange reports a value that is below low or above high.
func CheckRange[T cmp.Ordered](fail Fail, field string, value, low, high T) {
	if value < low || value > high {
		fail(field, "must be from %v to %v, got %v", low, high, value)
	}
}

// CheckAddr reports a value that is not "ip:port".
func CheckAddr(fail Fail, field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		fail(field, "must be ip:port, got %q", value)
	}
}
