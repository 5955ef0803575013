package claim

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// faultyTable fails commits before or after they take effect, as scripted.
type faultyTable struct {
	store.Table
	mu      sync.Mutex
	script  []fault
	delayed []store.Txn
}

type fault uint8

const (
	pass fault = iota
	refuse
	loseAnswer // takes effect without an answer
	delayWrite // takes effect without an answer when applyDelayed is called
)

func (f *faultyTable) Commit(ctx context.Context, t store.Txn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := pass
	if len(f.script) > 0 {
		next, f.script = f.script[0], f.script[1:]
	}
	switch next {
	case refuse:
		return store.ErrUnavailable
	case loseAnswer:
		_ = f.Table.Commit(ctx, t)
		return store.ErrIndeterminate
	case delayWrite:
		f.delayed = append(f.delayed, t)
		return store.ErrIndeterminate
	default:
		return f.Table.Commit(ctx, t)
	}
}

// applyDelayed commits the delayed writes whose checks still hold.
func (f *faultyTable) applyDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.delayed {
		_ = f.Table.Commit(context.Background(), t)
	}
	f.delayed = nil
}

func withTables(t *testing.T, script []fault, f func(ctx context.Context, a, b *Table, table *faultyTable)) {
	synctest.Test(t, func(t *testing.T) {
		table := &faultyTable{Table: memory.New(memory.Options{}).Table(), script: script}
		ctx, cancel := context.WithCancel(context.Background())
		a, b := NewTable(table, time.Now), NewTable(table, time.Now)
		go a.Run(ctx)
		go b.Run(ctx)
		f(ctx, a, b, table)
		cancel()
		synctest.Wait()
	})
}

func TestTakeUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name        string
		script      []fault
		first, then Verdict
	}{
		{"no fault", nil, Granted, InUse},
		{"commit fails, key stays free", []fault{refuse}, Unavailable, Granted},
		{"answer lost after the write", []fault{loseAnswer}, Granted, InUse},
		{"answer lost twice", []fault{loseAnswer, loseAnswer}, Granted, InUse},
		{"write delayed and repeated", []fault{delayWrite}, Granted, InUse},
		{"no answer, write delayed, then released", []fault{delayWrite, delayWrite, delayWrite, delayWrite}, Unavailable, Granted},
		{"no answer, write in effect, then released", []fault{loseAnswer, refuse}, Unavailable, Granted},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTables(t, c.script, func(ctx context.Context, a, b *Table, table *faultyTable) {
				assert.Equal(t, a.Take(ctx, Claim{"samtok", "key", "r1"}), c.first)
				time.Sleep(5 * releaseRetryInterval) // fake time
				table.applyDelayed()
				assert.Equal(t, b.Take(ctx, Claim{"samtok", "key", "r2"}), c.then)
				assert.Equal(t, b.Take(ctx, Claim{"permisele", "key", "r3"}), Granted)
			})
		})
	}
}

func TestTakeIsExclusive(t *testing.T) {
	const tries = 100
	withTables(t, nil, func(ctx context.Context, a, b *Table, _ *faultyTable) {
		var mu sync.Mutex
		granted := make(map[string]int)
		var wg sync.WaitGroup
		for i := range tries {
			for n, tab := range []*Table{a, b} {
				wg.Go(func() {
					key := fmt.Sprint("k", i%10)
					if tab.Take(ctx, Claim{"samtok", key, fmt.Sprint(n, ".", i)}) == Granted {
						mu.Lock()
						granted[key]++
						mu.Unlock()
					}
				})
			}
		}
		wg.Wait()
		assert.Equal(t, len(granted), 10)
		for key, n := range granted {
			assert.Equal(t, n, 1, key)
		}
	})
}

func TestReleaseAndBuckets(t *testing.T) {
	withTables(t, nil, func(ctx context.Context, a, b *Table, table *faultyTable) {
		assert.Equal(t, a.Take(ctx, Claim{"c", "k", "r1"}), Granted)
		a.Release(Claim{"c", "k", "r1"})
		synctest.Wait()
		assert.Equal(t, b.Take(ctx, Claim{"c", "k", "r2"}), Granted)
		a.Release(Claim{"c", "k", "r1"}) // a delayed duplicate has no effect
		synctest.Wait()
		assert.Equal(t, a.Take(ctx, Claim{"c", "k", "r3"}), InUse)
		time.Sleep(Retention)
		assert.Equal(t, a.Take(ctx, Claim{"c", "k", "r4"}), InUse)
		time.Sleep(2 * Retention)
		for more := true; more; {
			var err error
			more, err = a.Sweep(ctx)
			assert.NilError(t, err)
		}
		rows, err := table.List(ctx, Prefix, "", 10)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 0)
		assert.Equal(t, a.Take(ctx, Claim{"c", "k", "r5"}), Granted)
	})
}

func TestCancelledTakeIsReleased(t *testing.T) {
	withTables(t, nil, func(ctx context.Context, a, b *Table, table *faultyTable) {
		short, cancel := context.WithCancel(ctx)
		cancel()
		table.mu.Lock() // the table hangs
		assert.Equal(t, a.Take(short, Claim{"c", "k", "r1"}), Unavailable)
		table.mu.Unlock()
		synctest.Wait()
		assert.Equal(t, b.Take(ctx, Claim{"c", "k", "r2"}), Granted)
	})
}

func TestTicket(t *testing.T) {
	now := time.Unix(1000, 0)
	secret, other := []byte(strings.Repeat("s", MinSecretBytes)), []byte(strings.Repeat("o", MinSecretBytes))
	s, err := NewSealer(secret)
	assert.NilError(t, err)
	text, err := s.Seal(Ticket{Backend: "b", Incarnation: "i", Customer: "samtok", Nonce: "n", Expires: now.Add(time.Minute)})
	assert.NilError(t, err)
	rotated, err := NewSealer(other, secret)
	assert.NilError(t, err)
	forged, err := NewSealer(other)
	assert.NilError(t, err)
	for _, c := range []struct {
		name, text, customer string
		sealer               *Sealer
		at                   time.Time
		ok                   bool
	}{
		{"authentic", text, "samtok", s, now, true},
		{"secret rotated", text, "samtok", rotated, now, true},
		{"other secret", text, "samtok", forged, now, false},
		{"other customer", text, "permisele", s, now, false},
		{"over", text, "samtok", s, now.Add(time.Hour), false},
		{"changed", strings.Replace(text, "_e", "_f", 1) + "x", "samtok", s, now, false},
		{"empty", "", "samtok", s, now, false},
		{"prefix only", TicketPrefix, "samtok", s, now, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.sealer.Open(c.text, c.customer, c.at)
			assert.Equal(t, err == nil, c.ok)
			assert.Equal(t, got.Backend == "b", c.ok)
		})
	}
}

func TestLedger(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(2)
	take := func(request, key string, want Verdict) {
		t.Helper()
		v, _ := l.Take(Claim{"c", key, request}, now)
		assert.Equal(t, v, want)
	}
	take("r1", "k1", Granted)
	take("r1", "k1", Granted) // repeated after a lost answer
	take("r2", "k1", InUse)
	l.Release(Claim{"c", "k1", "r1"})
	take("r1", "k1", InUse) // the same request must not start after its release
	take("r2", "k1", Granted)
	l.Release(Claim{"c", "k1", "r1"}) // not the holder
	take("r3", "k1", InUse)
	take("r4", "k2", Granted)
	take("r5", "k3", Unavailable)
	now = now.Add(Retention)
	take("r5", "k3", Granted)
	assert.Equal(t, l.Len(), 1)
}
