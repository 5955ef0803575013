package claim

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/store"
)

const (
	// maxBatch is how many claims one transaction carries.
	maxBatch = 128
	// maxPending bounds the claims that wait, and those still to be released.
	maxPending = 8192
	// releasePause is the pause before a failed release is tried again.
	releasePause = time.Second
	// settleReads bounds how often an unanswered write is looked up.
	settleReads = 3
)

// Table claims keys in the platform's table. It is safe for concurrent use.
type Table struct {
	table store.Table
	now   func() time.Time

	mu       sync.Mutex
	pending  []*waiter
	releases []release
	wake     chan struct{}
	wakeRel  chan struct{}
}

// waiter is one claim on its way. expect holds the version that each row must
// have for the claim to be granted.
type waiter struct {
	claim  Claim
	own    string
	expect map[string]uint64
	answer chan Verdict
}

// NewTable returns claims in table. Run must be running for Take to answer.
func NewTable(table store.Table, now func() time.Time) *Table {
	return &Table{table: table, now: now, wake: make(chan struct{}, 1), wakeRel: make(chan struct{}, 1)}
}

// Take claims a key. It blocks until the table has answered or ctx ends; a claim
// of which the end is not known is released in the background.
func (t *Table) Take(ctx context.Context, c Claim) Verdict {
	w := t.newWaiter(c)
	if !t.enqueue(w) {
		return Unavailable
	}
	select {
	case v := <-w.answer:
		return v
	case <-ctx.Done():
		go t.disown(w)
		return Unavailable
	}
}

// disown releases a claim that is granted after its request has given up on it.
func (t *Table) disown(w *waiter) {
	if <-w.answer == Granted {
		t.Release(w.claim)
	}
}

func (t *Table) newWaiter(c Claim) *waiter {
	bucket, digest := bucketOf(t.now()), c.digest()
	return &waiter{
		claim: c,
		own:   rowKey(bucket, digest),
		expect: map[string]uint64{
			rowKey(bucket-1, digest): 0,
			rowKey(bucket, digest):   0,
			rowKey(bucket+1, digest): 0,
		},
		answer: make(chan Verdict, 1),
	}
}

func (t *Table) enqueue(w *waiter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) >= maxPending {
		return false
	}
	t.pending = append(t.pending, w)
	signal(t.wake)
	return true
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Run serves claims and releases until ctx ends. Claims that come while a
// transaction is under way share the next one.
func (t *Table) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { t.releaseLoop(ctx) })
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			t.refusePending()
			return
		case <-t.wake:
		}
		for batch := t.takeBatch(); len(batch) > 0; batch = t.takeBatch() {
			t.commit(ctx, batch)
		}
	}
}

func (t *Table) refusePending() {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer(t.pending, Unavailable)
	t.pending = nil
}

func (t *Table) takeBatch() []*waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(len(t.pending), maxBatch)
	batch := t.pending[:n:n]
	t.pending = t.pending[n:]
	return distinct(batch, func(w *waiter) { t.pending = append(t.pending, w) })
}

// distinct leaves one claim per row in the batch and hands the others to later.
func distinct(batch []*waiter, later func(*waiter)) []*waiter {
	seen := make(map[string]bool, len(batch))
	out := batch[:0]
	for _, w := range batch {
		if seen[w.own] {
			later(w)
			continue
		}
		seen[w.own] = true
		out = append(out, w)
	}
	return out
}

// commit answers every claim of the batch.
func (t *Table) commit(ctx context.Context, batch []*waiter) {
	for len(batch) > 0 {
		err := t.table.Commit(ctx, txn(batch))
		var conflict *store.ConflictError
		switch {
		case err == nil:
			answer(batch, Granted)
			return
		case errors.As(err, &conflict):
			batch = t.onConflict(ctx, batch, conflict.Key)
		case errors.Is(err, store.ErrIndeterminate):
			t.settle(ctx, batch)
			return
		default:
			answer(batch, Unavailable)
			return
		}
	}
}

func txn(batch []*waiter) store.Txn {
	var out store.Txn
	for _, w := range batch {
		for key, version := range w.expect {
			out.Checks = append(out.Checks, store.Check{Key: key, Version: version})
		}
		out.Writes = append(out.Writes, store.Write{Key: w.own, Value: encode(row{RequestID: w.claim.RequestID, State: stateClaimed})})
	}
	return out
}

func answer(batch []*waiter, v Verdict) {
	for _, w := range batch {
		w.answer <- v
	}
}

// onConflict looks up the row that stood in the way. Its claim is answered, or
// goes on against the version of a released row; the rest of the batch is kept.
func (t *Table) onConflict(ctx context.Context, batch []*waiter, key string) []*waiter {
	for i, w := range batch {
		if _, ok := w.expect[key]; !ok {
			continue
		}
		if v := t.look(ctx, w, key); v != 0 {
			w.answer <- v
			return append(batch[:i], batch[i+1:]...)
		}
		return batch
	}
	answer(batch, Unavailable)
	return nil
}

// look reads one row of a claim. It returns 0 when the claim may be tried again.
func (t *Table) look(ctx context.Context, w *waiter, key string) Verdict {
	found, err := t.table.Get(ctx, key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		w.expect[key] = 0
		return 0
	case err != nil:
		return Unavailable
	}
	var r row
	if err := json.Unmarshal(found.Value, &r); err != nil {
		return InUse
	}
	switch {
	case r.State == stateReleased:
		w.expect[key] = found.Version
		return 0
	case r.RequestID == w.claim.RequestID:
		return Granted
	default:
		return InUse
	}
}

// settle finds out what became of claims whose transaction got no answer. A row
// that is not there yet may still come, so the same claim is written again: it
// can be granted only once.
func (t *Table) settle(ctx context.Context, batch []*waiter) {
	for range settleReads {
		err := t.table.Commit(ctx, txn(batch))
		var conflict *store.ConflictError
		switch {
		case err == nil:
			answer(batch, Granted)
			return
		case errors.As(err, &conflict):
			t.commit(ctx, t.onConflict(ctx, batch, conflict.Key))
			return
		case !errors.Is(err, store.ErrIndeterminate):
			t.giveUp(batch)
			return
		}
	}
	t.giveUp(batch)
}

// giveUp answers claims that may have been written or may still be, and has
// their rows fenced.
func (t *Table) giveUp(batch []*waiter) {
	for _, w := range batch {
		t.enqueueRelease(release{requestID: w.claim.RequestID, keys: []string{w.own}, fence: true})
	}
	answer(batch, Unavailable)
}

func encode(r row) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("claim: row does not marshal: " + err.Error())
	}
	return data
}
