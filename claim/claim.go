// Package claim binds the idempotency key of an unrepeatable request to exactly
// one request. A key is claimed either as a row of the platform's table, with many
// claims per transaction, or in the memory of the sidecar named by a ticket, which
// needs no store.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Claim binds a customer's key to a request.
type Claim struct {
	Customer  string
	Key       string
	RequestID string
}

// Verdict is the result of a claim.
type Verdict uint8

const (
	// Granted means that the key belongs to this request only.
	Granted Verdict = iota + 1
	// InUse means that the key belongs to another request.
	InUse
	// Unavailable means that the claim could not be decided; the request must not run.
	Unavailable
)

// Retention is the minimum time that a key stays claimed. Rows are grouped in time
// buckets of this length. A claim is also checked against the buckets before and
// after its own, so that the clocks of entries may differ by up to one bucket.
const Retention = time.Hour

// Prefix is the key prefix of all claim rows.
const Prefix = "claims/"

const hashBytes = 16

// state says whether the key of a row is claimed.
type state string

const (
	stateClaimed  state = "claimed"
	stateReleased state = "released"
)

// row is the JSON value of a claim row. A released row is not deleted, so that its
// version keeps increasing and a delayed release has no effect.
type row struct {
	RequestID string `json:"request_id"`
	State     state  `json:"state"`
}

// digest is the part of the row key that identifies the customer and its key.
func (c Claim) digest() string {
	sum := sha256.Sum256([]byte(c.Customer + "\x00" + c.Key))
	return hex.EncodeToString(sum[:hashBytes])
}

func bucketOf(t time.Time) int64 { return t.Unix() / int64(Retention/time.Second) }

func rowKey(bucket int64, digest string) string {
	return fmt.Sprintf("%s%010d/%s", Prefix, bucket, digest)
}
