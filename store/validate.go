package store

import (
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
)

// MaxList is the largest limit that a List of the table takes.
const MaxList = 1000

// Validate returns an error that wraps ErrInvalid when t names a key that
// ValidateKey refuses, writes a row twice, or neither checks nor writes anything.
func (t Txn) Validate() error {
	if len(t.Checks) == 0 && len(t.Writes) == 0 {
		return Invalid("empty transaction")
	}
	for _, c := range t.Checks {
		if err := ValidateKey(c.Key); err != nil {
			return err
		}
	}
	written := make(map[string]struct{}, len(t.Writes))
	for _, w := range t.Writes {
		if err := ValidateKey(w.Key); err != nil {
			return err
		}
		if _, twice := written[w.Key]; twice {
			return Invalid("row written twice in one transaction")
		}
		written[w.Key] = struct{}{}
	}
	return nil
}

// ValidateKey refuses a key that is empty or not UTF-8.
func ValidateKey(key string) error {
	if key == "" {
		return Invalid("empty key")
	}
	if !utf8.ValidString(key) {
		return Invalid("key is not UTF-8")
	}
	return nil
}

// ValidateLimit refuses a limit outside 1 to MaxList.
func ValidateLimit(limit int) error {
	if limit < 1 || limit > MaxList {
		return Invalid("limit out of range")
	}
	return nil
}

// Invalid returns an error that wraps ErrInvalid and says why.
func Invalid(why string) error {
	return merry.Prepend(ErrInvalid, why, merry.NoCaptureStack())
}
