package vmlink_test

import (
	"testing"

	"github.com/hibiscusspur/hibiscusspur/vmlink"
)

// BenchmarkMessage is what accounting costs for one message that is received and sent on.
func BenchmarkMessage(b *testing.B) {
	const bytes = 1000
	l := vmlink.New(1e12)
	for b.Loop() {
		l.Received(bytes)
		l.Sent(bytes)
	}
}
