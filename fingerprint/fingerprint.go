// Package fingerprint tells whether two requests ask the same, whatever connection they come on
// and whatever ID their client gave them.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
)

// digestBytes is the length of a Digest: of a million contents two are alike by chance once in 10^26 cases.
const digestBytes = 16

// Digest is a digest of what a request asks. It can't be turned back into the request, so that it may
// stand in logs and be told to other processes.
type Digest [digestBytes]byte

// Request is what makes two requests the same.
type Request struct {
	// Caller is who asks, as the request's credentials say; empty if it has none.
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

// part adds one part with its length before it, so that no two lists of parts have the same bytes.
func part(h hash.Hash, p []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(p)))
	// A hash never returns an error.
	_, _ = h.Write(length[:])
	_, _ = h.Write(p)
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Parse returns the digest that String wrote.
func Parse(s string) (Digest, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != digestBytes {
		return Digest{}, fmt.Errorf("digest of a request: %q is not %d hexadecimal digits", s, 2*digestBytes)
	}
	return Digest(b), nil
}
