package gateway

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/freshness"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// Keys that were taken away went on working for 1,600 requests of a day at gateways that the platform's store had shut out, or
// that were cut off: each served on under the configuration that it had, however old that was.

// revoke is the time after which a key that was taken away must not work any more, proofMargin what is kept of it.
const (
	revoke      = 5 * time.Second
	proofMargin = 250 * time.Millisecond
)

// keyedStore is the platform's store with one row: a configuration that asks for keys.
type keyedStore struct {
	mu      sync.Mutex
	version int64
	// acked is when each version was accepted.
	acked map[int64]time.Time
	calls int
	// changed is closed at the next change.
	changed chan struct{}
}

func newKeyedStore() *keyedStore {
	s := &keyedStore{acked: map[int64]time.Time{}, changed: make(chan struct{})}
	s.change()
	return s
}

func (s *keyedStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.acked[s.version] = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// owed is the version that must be in force wherever requests with keys are served.
func (s *keyedStore) owed() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := int64(0)
	for version, at := range s.acked {
		if time.Since(at) >= revoke {
			v = max(v, version)
		}
	}
	return v
}

// storeOf is the store as one gateway reaches it, or not.
type storeOf struct {
	Store
	s    *keyedStore
	mu   sync.Mutex
	lost bool
}

func (o *storeOf) lose(lost bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lost = lost
}

// storeAnswers is how long the store takes, lostAfter when a call that is not answered is given up.
const (
	storeAnswers = 5 * time.Millisecond
	lostAfter    = 1500 * time.Millisecond
)

func (o *storeOf) call(ctx context.Context) error {
	o.s.mu.Lock()
	o.s.calls++
	o.s.mu.Unlock()
	o.mu.Lock()
	lost := o.lost
	o.mu.Unlock()
	if lost {
		pause(ctx, lostAfter)
		return store.ErrUnavailable
	}
	pause(ctx, storeAnswers)
	return ctx.Err()
}

func tableOf(version int64) *route.Table {
	tenants, _ := route.NewTenants(nil) // No list of no tenants is faulty.
	return &route.Table{Version: version, Tenants: tenants}
}

func (o *storeOf) Manifest(ctx context.Context) (route.StoredTable, error) {
	if err := o.call(ctx); err != nil {
		return route.StoredTable{}, err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	return route.StoredTable{Table: tableOf(o.s.version), Encoded: []byte(fmt.Sprint(o.s.version)), Version: o.s.version, RowVersion: o.s.version}, nil
}

func (o *storeOf) NextManifest(ctx context.Context, after int64, wait time.Duration) (route.StoredTable, error) {
	o.s.mu.Lock()
	version, changed := o.s.version, o.s.changed
	o.s.mu.Unlock()
	if version <= after {
		select {
		case <-changed:
		case <-time.After(wait):
			return route.StoredTable{Version: after}, ctx.Err()
		case <-ctx.Done():
			return route.StoredTable{}, ctx.Err()
		}
	}
	return o.Manifest(ctx)
}

func (o *storeOf) ConfirmManifest(ctx context.Context, row int64) (bool, error) {
	if err := o.call(ctx); err != nil {
		return false, err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	return o.s.version == row, nil
}

func (o *storeOf) DecodeManifest(encoded []byte) (*route.Table, error) {
	version, err := strconv.ParseInt(string(encoded), 10, 64)
	return tableOf(version), err
}

// keyedFleet is a fleet whose gateways follow a configuration that asks for keys.
type keyedFleet struct {
	*fleet
	store  *keyedStore
	stores []*storeOf
}

const keyedGateways = 12

// withKeyedFleet runs a check over gateways that know each other.
func withKeyedFleet(t *testing.T, check func(t *testing.T, f *keyedFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &keyedFleet{store: newKeyedStore()}
		f.fleet = newFleetWith(ctx, keyedGateways, 0, Settings{Keys: freshness.Bounds{Revoke: revoke}}, func(int) Store {
			o := &storeOf{s: f.store}
			f.stores = append(f.stores, o)
			return o
		})
		for _, s := range f.gateways {
			go s.followManifest(ctx)
			go s.proveManifest(ctx)
			go s.askProofs(ctx)
		}
		time.Sleep(meetTime)
		check(t, f)
		cancel()
		synctest.Wait()
	})
}

// serves reports whether a gateway serves requests with keys, without waiting for a proof.
func (f *keyedFleet) serves(i int) bool {
	p := f.gateways[i].proofs
	return p.bounds.Trusted(p.age())
}

// watch looks at all gateways for d, and fails if one serves under a configuration that lacks a change of longer ago than
// revoke. It calls also with each look.
func (f *keyedFleet) watch(t *testing.T, d time.Duration, also func(i int, serves bool)) {
	t.Helper()
	const look = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(look) {
		owed := f.store.owed()
		for i, s := range f.gateways {
			serves := f.serves(i)
			assert.Assert(t, !serves || s.view.version() >= owed, "gateway %d serves under version %d, %d is owed", i, s.view.version(), owed)
			also(i, serves)
		}
	}
}

// TestProofsOfOthersKeepAGatewayInService: gateways that the store shuts out serve on by the proofs of those that it serves.
func TestProofsOfOthersKeepAGatewayInService(t *testing.T) {
	withKeyedFleet(t, func(t *testing.T, f *keyedFleet) {
		for _, served := range []int{0, 7, keyedGateways - 1} {
			for i, o := range f.stores {
				o.lose(i != served)
			}
			f.watch(t, 15*time.Second, func(i int, serves bool) {
				assert.Assert(t, serves, "gateway %d while the store serves %d alone", i, served)
			})
		}
	})
}

// TestStoreOutForAll: without the store all serve on nearly to the bound, then none does, and all do again once it is back.
func TestStoreOutForAll(t *testing.T) {
	withKeyedFleet(t, func(t *testing.T, f *keyedFleet) {
		for _, o := range f.stores {
			o.lose(true)
		}
		// The latest proof is as old as the pause between two of them when the store goes.
		f.watch(t, revoke-proveInterval-proveAge, func(i int, serves bool) { assert.Assert(t, serves, "gateway %d", i) })
		f.store.change()
		time.Sleep(proveInterval + proveAge)
		f.watch(t, 3*time.Second, func(i int, serves bool) { assert.Assert(t, !serves, "gateway %d", i) })
		for _, o := range f.stores {
			o.lose(false)
		}
		time.Sleep(lostAfter + maxStoreRetry)
		f.watch(t, time.Second, func(i int, serves bool) {
			assert.Assert(t, serves, "gateway %d", i)
			assert.Equal(t, f.gateways[i].view.version(), int64(2))
		})
	})
}

// TestCutGatewayRefuses: a gateway that is cut off from store and gateways refuses before the bound. What was held up on its
// way to it says that all was well a moment before it was sent, and comes later: it proves nothing of now.
func TestCutGatewayRefuses(t *testing.T) {
	withKeyedFleet(t, func(t *testing.T, f *keyedFleet) {
		const cutFor = 9 * time.Second
		for _, cut := range []int{0, 5, keyedGateways - 1} {
			f.stores[cut].lose(true)
			f.hosts[cut].Stall(cutFor)
			time.Sleep(100 * time.Millisecond)
			f.store.change()
			refused := 0
			f.watch(t, cutFor+time.Second, func(i int, serves bool) {
				if i == cut && !serves {
					refused++
				}
			})
			assert.Assert(t, refused > 0, "gateway %d never refused", cut)
			f.stores[cut].lose(false)
			f.watch(t, 3*time.Second, func(int, bool) {})
			assert.Assert(t, f.serves(cut))
		}
	})
}

// TestProofsCostFewCalls: at rest two gateways ask the store, once a second each, and all others hear from them.
func TestProofsCostFewCalls(t *testing.T) {
	withKeyedFleet(t, func(t *testing.T, f *keyedFleet) {
		const window = 10 * time.Second
		f.store.mu.Lock()
		before := f.store.calls
		f.store.mu.Unlock()
		worst := time.Duration(0)
		f.watch(t, window, func(i int, _ bool) {
			age, _ := f.gateways[i].proofs.age()
			worst = max(worst, age)
		})
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		t.Logf("%d calls in %v, the oldest proof %v", f.store.calls-before, window, worst)
		assert.Check(t, f.store.calls-before <= readers*int(window/proveInterval)+readers)
		assert.Check(t, worst < proveAge)
	})
}

// TestRequestWaitsForAProof: a gateway that was frozen has an old proof when it goes on; its first requests wait for a new one
// instead of being refused.
func TestRequestWaitsForAProof(t *testing.T) {
	withKeyedFleet(t, func(t *testing.T, f *keyedFleet) {
		p := f.gateways[3].proofs
		f.ahead[3].Add(int64(time.Minute))
		assert.Assert(t, !p.bounds.Trusted(p.age()))
		start := time.Now()
		assert.Assert(t, p.trusted(t.Context()))
		assert.Assert(t, time.Since(start) < proofWait)
		assert.Assert(t, p.lately(t.Context()))
	})
}

// TestNoProofNoService: a request waits for a moment, not for ever.
func TestNoProofNoService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		epoch := time.Now()
		p := newProofs(freshness.Bounds{Revoke: revoke}, func() time.Duration { return time.Since(epoch) })
		assert.Assert(t, !p.trusted(t.Context()))
		assert.Equal(t, time.Since(epoch), proofWait)
		p.inForce(1)
		p.read(1, 1, p.now())
		assert.Assert(t, p.trusted(t.Context()))
		time.Sleep(revoke - proofMargin)
		assert.Assert(t, !p.trusted(t.Context()))
	})
}
