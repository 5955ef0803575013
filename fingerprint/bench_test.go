package fingerprint_test

import (
	"testing"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
)

// BenchmarkOf computes the digest of a request of 10 kB, as done for each request while any is suspected or
// quarantined.
func BenchmarkOf(b *testing.B) {
	r := fingerprint.Request{Method: "POST", Host: "voka69.example", Target: "/vony422/le17/", Body: make([]byte, 10<<10)}
	for b.Loop() {
		fingerprint.Of(r)
	}
}
