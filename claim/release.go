package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// sweepPage is the maximum number of expired rows that one transaction deletes.
const sweepPage = 128

// release is a queued release of a key.
type release struct {
	requestID string
	keys      []string
	// fence also writes missing rows, so that a delayed write of the claim fails its
	// version check.
	fence bool
}

// Release frees a key whose request was not run. It does not block; the release is
// retried until the table accepts it. The claim may be in the present bucket or in
// the previous one.
func (t *Table) Release(c Claim) {
	bucket, digest := bucketOf(t.now()), c.digest()
	t.enqueueRelease(release{requestID: c.RequestID, keys: []string{rowKey(bucket, digest), rowKey(bucket-1, digest)}})
}

func (t *Table) enqueueRelease(r release) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.releases) < maxPending {
		t.releases = append(t.releases, r)
	}
	signal(t.wakeReleases)
}

// releaseLoop processes releases until ctx ends; a release that fails is retried.
func (t *Table) releaseLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wakeReleases:
		}
		for r, ok := t.nextRelease(); ok; r, ok = t.nextRelease() {
			if t.release(ctx, r) {
				continue
			}
			t.enqueueRelease(r)
			select {
			case <-ctx.Done():
				return
			case <-time.After(releaseRetryInterval):
			}
		}
	}
}

func (t *Table) nextRelease() (release, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.releases) == 0 {
		return release{}, false
	}
	r := t.releases[0]
	t.releases = t.releases[1:]
	return r, true
}

// release reports whether the release is complete.
func (t *Table) release(ctx context.Context, r release) bool {
	for _, key := range r.keys {
		if !t.releaseRow(ctx, key, r) {
			return false
		}
	}
	return true
}

func (t *Table) releaseRow(ctx context.Context, key string, r release) bool {
	found, err := t.table.Get(ctx, key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		if !r.fence {
			return true
		}
	case err != nil:
		return false
	case !heldBy(found, r.requestID):
		return true
	}
	err = t.table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: key, Version: found.Version}},
		Writes: []store.Write{{Key: key, Value: encode(row{RequestID: r.requestID, State: stateReleased})}},
	})
	return err == nil
}

func heldBy(found store.Row, requestID string) bool {
	var r row
	err := json.Unmarshal(found.Value, &r)
	return err == nil && r.RequestID == requestID && r.State == stateClaimed
}

// Sweep deletes up to one page of rows in expired buckets, and reports whether there
// may be more.
func (t *Table) Sweep(ctx context.Context) (more bool, err error) {
	rows, err := t.table.List(ctx, Prefix, "", sweepPage)
	if err != nil {
		return false, err
	}
	limit := fmt.Sprintf("%s%010d/", Prefix, bucketOf(t.now())-1)
	var del store.Txn
	for _, r := range rows {
		if r.Key < limit {
			del.Writes = append(del.Writes, store.Write{Key: r.Key, Delete: true})
		}
	}
	if len(del.Writes) == 0 {
		return false, nil
	}
	return len(del.Writes) == sweepPage, t.table.Commit(ctx, del)
}
