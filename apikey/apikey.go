// Package apikey maps API keys to their owners by the hashes of the keys. A process stores only hashes, so
// that no key can be read from its memory, and compares them in constant time.
package apikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"slices"
)

// Hash is the SHA-256 of a key.
type Hash [sha256.Size]byte

// errForm means that a text is not the hexadecimal form of a hash.
var errForm = errors.New("must be 64 lower-case hexadecimal digits")

// Of returns the hash of a key.
func Of(key string) Hash { return sha256.Sum256([]byte(key)) }

// Parse is the inverse of String.
func Parse(text string) (Hash, error) {
	var h Hash
	sum, err := hex.DecodeString(text)
	if err != nil || len(sum) != len(h) {
		return h, errForm
	}
	return Hash(sum), nil
}

// String returns h in lower-case hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Owners maps keys to the owners that claim them. A key with several claims has no owner. It is not safe
// for concurrent use while it changes.
type Owners map[bucket][]claim

// bucket is the first bytes of a hash; claims within a bucket are compared in constant time.
type bucket [2]byte

type claim struct {
	hash  Hash
	owner string
}

func bucketOf(h Hash) bucket { return bucket(h[:2]) }

// Owner returns the owner of the key with this hash, if exactly one claims it.
func (o Owners) Owner(h Hash) (string, bool) {
	owner, claims := "", 0
	for _, c := range o[bucketOf(h)] {
		if subtle.ConstantTimeCompare(c.hash[:], h[:]) == 1 {
			owner = c.owner
			claims++
		}
	}
	if claims != 1 {
		return "", false
	}
	return owner, true
}

// Add records a claim and returns the owners that claimed the key before.
func (o Owners) Add(h Hash, owner string) []string {
	b := bucketOf(h)
	var others []string
	for _, c := range o[b] {
		if subtle.ConstantTimeCompare(c.hash[:], h[:]) == 1 {
			others = append(others, c.owner)
		}
	}
	o[b] = append(o[b], claim{h, owner})
	return others
}

// Remove deletes all claims of owner to the key.
func (o Owners) Remove(h Hash, owner string) {
	b := bucketOf(h)
	o[b] = slices.DeleteFunc(o[b], func(c claim) bool {
		return c.owner == owner && subtle.ConstantTimeCompare(c.hash[:], h[:]) == 1
	})
	if len(o[b]) == 0 {
		delete(o, b)
	}
}
