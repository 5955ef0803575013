package freshness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/freshness"
)

const second = time.Second

func TestAge(t *testing.T) {
	var l freshness.Ledger
	_, known := l.Age(0)
	assert.Assert(t, !known, "nothing is proved yet")
	l.Applied(3)
	_, known = l.Age(0)
	assert.Assert(t, !known, "an applied version alone proves nothing: it may have been replaced since")

	l.AddProof(freshness.Proof{Version: 3, At: 2 * second})
	age, known := l.Age(5 * second)
	assert.Assert(t, known)
	assert.Equal(t, age, 3*second)

	l.AddProof(freshness.Proof{Version: 4, At: 4 * second})
	age, _ = l.Age(5 * second)
	assert.Equal(t, age, 3*second, "a newer version was proved but is not applied here")
	l.Applied(4)
	age, _ = l.Age(5 * second)
	assert.Equal(t, age, second)

	l.AddProof(freshness.Proof{Version: 4, At: 3 * second})
	age, _ = l.Age(5 * second)
	assert.Equal(t, age, second, "an older proof changes nothing")
	l.Applied(9)
	age, _ = l.Age(5 * second)
	assert.Equal(t, age, second, "a later version contains all changes up to the proof")
	newest, ok := l.Newest()
	assert.Assert(t, ok)
	assert.Equal(t, newest, freshness.Proof{Version: 4, At: 4 * second})
}

// Guards against proofs of a restored store that lacks the applied version: it may lack later ones too.
func TestProofsOfRestoredStore(t *testing.T) {
	var l freshness.Ledger
	age := func(now time.Duration) time.Duration {
		age, known := l.Age(now)
		assert.Assert(t, known)
		return age
	}
	l.AddProof(freshness.Proof{Version: 21, Era: 1, At: 1 * second})
	l.Applied(21)
	l.AddProof(freshness.Proof{Version: 12, Era: 2, At: 3 * second})
	assert.Equal(t, age(3*second), 2*second, "the copy has an earlier version")
	l.AddProof(freshness.Proof{Version: 21, Era: 2, At: 4 * second})
	assert.Equal(t, age(5*second), second, "the operator has written again")
	l.AddProof(freshness.Proof{Version: 20, Era: 2, At: 5 * second})
	assert.Equal(t, age(6*second), second, "in this era version 20 came before version 21")

	l.AddProof(freshness.Proof{Version: 20, Era: 1, At: 6 * second})
	assert.Equal(t, age(6*second), 0*second, "a late answer of the era before counts for its own time")
	l.Applied(25)
	l.AddProof(freshness.Proof{Version: 25, Era: 0, At: 7 * second})
	assert.Equal(t, age(7*second), 1*second, "a gateway that knows no eras may confirm a version given out again")
	l.AddProof(freshness.Proof{Version: 25, Era: 2, At: 8 * second})
	assert.Equal(t, age(8*second), 0*second)
}

func TestTrusted(t *testing.T) {
	closed := freshness.Bounds{Revoke: 5 * second}
	for _, c := range []struct {
		bounds freshness.Bounds
		age    time.Duration
		known  bool
		want   bool
	}{
		{closed, 0, true, true},
		{closed, 4700 * time.Millisecond, true, true},
		{closed, 4750 * time.Millisecond, true, false},
		{closed, 0, false, false},
		{freshness.Bounds{}, time.Hour, true, true},
		{freshness.Bounds{}, 0, false, true},
		{freshness.Bounds{Revoke: 100 * time.Millisecond}, 0, true, false},
	} {
		assert.Equal(t, c.bounds.Trusted(c.age, c.known), c.want, "%+v", c)
	}
}

func BenchmarkAge(b *testing.B) {
	var l freshness.Ledger
	l.Applied(3)
	l.AddProof(freshness.Proof{Version: 3, At: 1})
	bounds := freshness.Bounds{Revoke: 5 * second}
	b.ReportAllocs()
	for b.Loop() {
		if age, known := l.Age(2); !bounds.Trusted(age, known) {
			b.Fatal("not trusted")
		}
	}
}
