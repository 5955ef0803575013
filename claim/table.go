package claim

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/store"
)

const (
	// maxBatch is the maximum number of claims in one transaction.
	maxBatch = 128
	// maxPending bounds the queue of claims and the queue of releases.
	maxPending = 8192
	// releaseRetryInterval is the delay before a failed release is retried.
	releaseRetryInterval = time.Second
	// maxSettleAttempts bounds how often an unanswered transaction is written again.
	maxSettleAttempts = 3
)

// Table claims keys in the platform's table. It is safe for concurrent use.
type Table struct {
	table store.Table
	now   func() time.Time

	mu           sync.Mutex
	pending      []*waiter
	releases     []release
	wake         chan struct{}
	wakeReleases chan struct{}
}

// waiter is a claim in progress. expectedVersions holds the version that each row
// must have for the claim to be granted.
type waiter struct {
	claim            Claim
	rowKey           string
	expectedVersions map[string]uint64
	answer           chan Verdict
}

// NewTable returns a Table that stores claims in table. Take blocks unless Run is
// running.
func NewTable(table store.Table, now func() time.Time) *Table {
	return &Table{table: table, now: now, wake: make(chan struct{}, 1), wakeReleases: make(chan struct{}, 1)}
}

// Take claims a key. It blocks until the table has answered or ctx ends; a claim
// whose outcome is unknown is released in the background.
func (t *Table) Take(ctx context.Context, c Claim) Verdict {
	w := t.newWaiter(c)
	if !t.enqueue(w) {
		return Unavailable
	}
	select {
	case v := <-w.answer:
		return v
	case <-ctx.Done():
		go t.releaseIfGranted(w)
		return Unavailable
	}
}

// releaseIfGranted releases a claim that is granted after its caller stopped waiting.
func (t *Table) releaseIfGranted(w *waiter) {
	if <-w.answer == Granted {
		t.Release(w.claim)
	}
}

func (t *Table) newWaiter(c Claim) *waiter {
	bucket, digest := bucketOf(t.now()), c.digest()
	return &waiter{
		claim:  c,
		rowKey: rowKey(bucket, digest),
		expectedVersions: map[string]uint64{
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
	notify.Send(ch)
}

// Run processes claims and releases until ctx ends. Claims that arrive during a
// transaction are batched into the next one (group commit).
func (t *Table) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { t.releaseLoop(ctx) })
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			t.failPending()
			return
		case <-t.wake:
		}
		for batch := t.takeBatch(); len(batch) > 0; batch = t.takeBatch() {
			t.commit(ctx, batch)
		}
	}
}

func (t *Table) failPending() {
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
	return distinctRows(batch, func(w *waiter) { t.pending = append(t.pending, w) })
}

// distinctRows keeps one claim per row in the batch and passes the others to
// postpone.
func distinctRows(batch []*waiter, postpone func(*waiter)) []*waiter {
	seen := make(map[string]bool, len(batch))
	out := batch[:0]
	for _, w := range batch {
		if seen[w.rowKey] {
			postpone(w)
			continue
		}
		seen[w.rowKey] = true
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
		for key, version := range w.expectedVersions {
			out.Checks = append(out.Checks, store.Check{Key: key, Version: version})
		}
		out.Writes = append(out.Writes, store.Write{Key: w.rowKey, Value: encode(row{RequestID: w.claim.RequestID, State: stateClaimed})})
	}
	return out
}

func answer(batch []*waiter, v Verdict) {
	for _, w := range batch {
		w.answer <- v
	}
}

// onConflict reads the row that caused a conflict. Its claim is either answered and
// removed from the batch, or kept to be checked against the row's present version
// if the row is released; the rest of the batch is kept.
func (t *Table) onConflict(ctx context.Context, batch []*waiter, key string) []*waiter {
	for i, w := range batch {
		if _, ok := w.expectedVersions[key]; !ok {
			continue
		}
		if v := t.checkRow(ctx, w, key); v != 0 {
			w.answer <- v
			return append(batch[:i], batch[i+1:]...)
		}
		return batch
	}
	answer(batch, Unavailable)
	return nil
}

// checkRow reads one row of a claim. It returns 0 when the claim may be retried.
func (t *Table) checkRow(ctx context.Context, w *waiter, key string) Verdict {
	found, err := t.table.Get(ctx, key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		w.expectedVersions[key] = 0
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
		w.expectedVersions[key] = found.Version
		return 0
	case r.RequestID == w.claim.RequestID:
		return Granted
	default:
		return InUse
	}
}

// settle resolves claims whose transaction got no answer. The lost write may still
// take effect, so that reading the rows is not enough; instead the same claims are
// written again, which can succeed only once.
func (t *Table) settle(ctx context.Context, batch []*waiter) {
	for range maxSettleAttempts {
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
			t.fenceAndFail(batch)
			return
		}
	}
	t.fenceAndFail(batch)
}

// fenceAndFail answers Unavailable for claims whose write may or may not take
// effect, and queues the fencing of their rows.
func (t *Table) fenceAndFail(batch []*waiter) {
	for _, w := range batch {
		t.enqueueRelease(release{requestID: w.claim.RequestID, keys: []string{w.rowKey}, fence: true})
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
