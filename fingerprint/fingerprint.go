// Package fingerprint recognizes requests with the same content, whichever connection they arrive on and whichever ID
// their client gave them.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
)

// digestBytes is the length of a Digest: the chance that two of a million requests collide is one in 10^26.
const digestBytes = 16

// Digest is a digest of a request's content. It can't be reversed, so it may be logged and sent to other processes.
type Digest [digestBytes]byte

// Request is the part of a request that makes two requests the same.
type Request struct {
	// Caller is the caller's identity by the request's credentials; empty if it has none.
	Caller string
	Method string
	Host   string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// Of returns the digest of a request.
func Of(r Request) Digest {
	h := sha256.New()
	for _, s := range []string{r.Caller, r.Method, r.Host, r.Target} {
		part(h, []byte(s))
	}
	part(h, r.Body)
	return Digest(h.Sum(nil)[:digestBytes])
}

// MaxParts and MaxPartID bound the parts of one prompt that are told apart, and the length of an ID in bytes.
const (
	MaxParts  = 64
	MaxPartID = 64
)

// OfParts returns the digest of a list of parts of prompts, given by their IDs. No request has the same digest.
func OfParts(ids []string) Digest {
	h := sha256.New()
	part(h, []byte("parts of prompts"))
	for _, id := range ids {
		part(h, []byte(id))
	}
	return Digest(h.Sum(nil)[:digestBytes])
}

// part hashes one part after its length, so that no two lists of parts hash the same bytes.
func part(h hash.Hash, p []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(p)))
	// A hash never returns an error.
	_, _ = h.Write(length[:])
	_, _ = h.Write(p)
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Parse parses the output of String.
func Parse(s string) (Digest, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != digestBytes {
		return Digest{}, fmt.Errorf("digest of a request: %q is not %d hexadecimal digits", s, 2*digestBytes)
	}
	return Digest(b), nil
}
