package store

import (
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
)

// MaxList is the largest limit of a List of the table.
const MaxList = 1000

// Validate returns an error that wraps ErrInvalid if t has an invalid key, writes a
// row twice, or has neither checks nor writes.
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

// ValidateKey returns an error that wraps ErrInvalid if key is empty or not UTF-8.
func ValidateKey(key string) error {
	if key == "" {
		return Invalid("empty key")
	}
	if !utf8.ValidString(key) {
		return Invalid("key is not UTF-8")
	}
	return nil
}

// ValidateLimit returns an error that wraps ErrInvalid if limit is not from 1 to
// MaxList.
func ValidateLimit(limit int) error {
	if limit < 1 || limit > MaxList {
		return Invalid("limit out of range")
	}
	return nil
}

// Invalid returns an error that wraps ErrInvalid, with the reason.
func Invalid(reason string) error {
	return merry.Prepend(ErrInvalid, reason, merry.NoCaptureStack())
}
