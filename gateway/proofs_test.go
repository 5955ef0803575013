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

	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/policy/freshness"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// The failure: revoked keys continued to work, for 1,600 requests in a day, at gateways that were cut off or that the
// platform's store refused: each continued to serve under the configuration that it had, however old that was.

// revoke is the time after which a revoked key must not work any more, proofMargin the part of it kept as a margin.
const (
	revoke      = 5 * time.Second
	proofMargin = 250 * time.Millisecond
)

// keyedStore is the platform's store with one row: a configuration that requires keys.
type keyedStore struct {
	mu      sync.Mutex
	version int64
	// acceptedAt is when each version was accepted.
	acceptedAt map[int64]time.Time
	calls      int
	// changed is closed at the next change.
	changed chan struct{}
}

func newKeyedStore() *keyedStore {
	s := &keyedStore{acceptedAt: map[int64]time.Time{}, changed: make(chan struct{})}
	s.change()
	return s
}

func (s *keyedStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.acceptedAt[s.version] = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// requiredVersion returns the oldest version that may be in force where requests with keys are served.
func (s *keyedStore) requiredVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := int64(0)
	for version, at := range s.acceptedAt {
		if time.Since(at) >= revoke {
			v = max(v, version)
		}
	}
	return v
}

// storeClient is one gateway's connection to the store, which may be lost.
type storeClient struct {
	Store
	s    *keyedStore
	mu   sync.Mutex
	lost bool
}

func (o *storeClient) setLost(lost bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lost = lost
}

// storeLatency is how long a call of the store takes, lostCallTimeout when a call without an answer is given up.
const (
	storeLatency    = 5 * time.Millisecond
	lostCallTimeout = 1500 * time.Millisecond
)

func (o *storeClient) call(ctx context.Context) error {
	o.s.mu.Lock()
	o.s.calls++
	o.s.mu.Unlock()
	o.mu.Lock()
	lost := o.lost
	o.mu.Unlock()
	if lost {
		sleep.For(ctx, lostCallTimeout)
		return store.ErrUnavailable
	}
	sleep.For(ctx, storeLatency)
	return ctx.Err()
}

func tableOf(version int64) *route.Table {
	tenants, _ := route.NewTenants(nil) // An empty list is valid.
	return &route.Table{Version: version, Tenants: tenants}
}

func (o *storeClient) Manifest(ctx context.Context) (route.StoredTable, error) {
	if err := o.call(ctx); err != nil {
		return route.StoredTable{}, err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	return route.StoredTable{Table: tableOf(o.s.version), Encoded: []byte(fmt.Sprint(o.s.version)), Position: store.Position(o.s.version), RowPosition: store.Position(o.s.version)}, nil
}

func (o *storeClient) NextManifest(ctx context.Context, after store.Position, wait time.Duration) (route.StoredTable, error) {
	o.s.mu.Lock()
	version, changed := o.s.version, o.s.changed
	o.s.mu.Unlock()
	if store.Position(version) <= after {
		select {
		case <-changed:
		case <-time.After(wait):
			return route.StoredTable{Position: after}, ctx.Err()
		case <-ctx.Done():
			return route.StoredTable{}, ctx.Err()
		}
	}
	return o.Manifest(ctx)
}

func (o *storeClient) ConfirmManifest(ctx context.Context, row store.Position) (bool, error) {
	if err := o.call(ctx); err != nil {
		return false, err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	return store.Position(o.s.version) == row, nil
}

func (o *storeClient) DecodeManifest(encoded []byte) (*route.Table, error) {
	version, err := strconv.ParseInt(string(encoded), 10, 64)
	return tableOf(version), err
}

// keyedCluster is a cluster whose gateways follow a configuration that requires keys.
type keyedCluster struct {
	*cluster
	store  *keyedStore
	stores []*storeClient
}

const keyedGateways = 12

// withKeyedCluster runs a check over gateways that know each other.
func withKeyedCluster(t *testing.T, check func(t *testing.T, cl *keyedCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cl := &keyedCluster{store: newKeyedStore()}
		cl.cluster = newClusterWith(ctx, keyedGateways, 0, Settings{Freshness: freshness.Bounds{Revoke: revoke}}, func(int) Store {
			o := &storeClient{s: cl.store}
			cl.stores = append(cl.stores, o)
			return o
		})
		for _, s := range cl.gateways {
			go s.followManifest(ctx)
			go s.proveManifest(ctx)
			go s.requestPeerProofs(ctx)
		}
		time.Sleep(membershipTime)
		check(t, cl)
		cancel()
		synctest.Wait()
	})
}

// serves reports whether a gateway serves requests with keys, without waiting for a proof.
func (cl *keyedCluster) serves(i int) bool {
	p := cl.gateways[i].proofs
	return p.bounds.Trusted(p.age())
}

// watch checks all gateways for the time d, and fails if one serves under a configuration that lacks a change older
// than revoke. It calls check for each gateway at each interval.
func (cl *keyedCluster) watch(t *testing.T, d time.Duration, check func(i int, serves bool)) {
	t.Helper()
	const checkInterval = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(checkInterval) {
		required := cl.store.requiredVersion()
		for i, s := range cl.gateways {
			serves := cl.serves(i)
			assert.Assert(t, !serves || s.view.version() >= required, "gateway %d serves under version %d, %d is required", i, s.view.version(), required)
			check(i, serves)
		}
	}
}

// TestPeerProofsKeepGatewayInService: gateways that the store refuses continue to serve by the proofs of those that
// it serves.
func TestPeerProofsKeepGatewayInService(t *testing.T) {
	withKeyedCluster(t, func(t *testing.T, cl *keyedCluster) {
		for _, served := range []int{0, 7, keyedGateways - 1} {
			for i, o := range cl.stores {
				o.setLost(i != served)
			}
			cl.watch(t, 15*time.Second, func(i int, serves bool) {
				assert.Assert(t, serves, "gateway %d while the store serves %d alone", i, served)
			})
		}
	})
}

// TestStoreUnavailableToAll: without the store all gateways serve nearly until the bound, then none does, and all do
// again once the store is back.
func TestStoreUnavailableToAll(t *testing.T) {
	withKeyedCluster(t, func(t *testing.T, cl *keyedCluster) {
		for _, o := range cl.stores {
			o.setLost(true)
		}
		// The latest proof is at most as old as the interval between two proofs when the store is lost.
		cl.watch(t, revoke-proofInterval-fallbackProofAge, func(i int, serves bool) { assert.Assert(t, serves, "gateway %d", i) })
		cl.store.change()
		time.Sleep(proofInterval + fallbackProofAge)
		cl.watch(t, 3*time.Second, func(i int, serves bool) { assert.Assert(t, !serves, "gateway %d", i) })
		for _, o := range cl.stores {
			o.setLost(false)
		}
		time.Sleep(lostCallTimeout + maxStoreRetryDelay)
		cl.watch(t, time.Second, func(i int, serves bool) {
			assert.Assert(t, serves, "gateway %d", i)
			assert.Equal(t, cl.gateways[i].view.version(), int64(2))
		})
	})
}

// TestPartitionedGatewayRejects: a gateway that is cut off from the store and the other gateways rejects requests
// before the bound. Delayed messages to it prove the configuration as of a moment before they were sent and arrive
// later: they prove nothing of the present.
func TestPartitionedGatewayRejects(t *testing.T) {
	withKeyedCluster(t, func(t *testing.T, cl *keyedCluster) {
		const partitionTime = 9 * time.Second
		for _, partitioned := range []int{0, 5, keyedGateways - 1} {
			cl.stores[partitioned].setLost(true)
			cl.hosts[partitioned].Stall(partitionTime)
			time.Sleep(100 * time.Millisecond)
			cl.store.change()
			rejected := 0
			cl.watch(t, partitionTime+time.Second, func(i int, serves bool) {
				if i == partitioned && !serves {
					rejected++
				}
			})
			assert.Assert(t, rejected > 0, "gateway %d never rejected requests", partitioned)
			cl.stores[partitioned].setLost(false)
			cl.watch(t, 3*time.Second, func(int, bool) {})
			assert.Assert(t, cl.serves(partitioned))
		}
	})
}

// TestProofsCostFewCalls: in normal operation two gateways ask the store, once a second each, and all others receive
// the proofs from them.
func TestProofsCostFewCalls(t *testing.T) {
	withKeyedCluster(t, func(t *testing.T, cl *keyedCluster) {
		const window = 10 * time.Second
		cl.store.mu.Lock()
		before := cl.store.calls
		cl.store.mu.Unlock()
		maxAge := time.Duration(0)
		cl.watch(t, window, func(i int, _ bool) {
			age, _ := cl.gateways[i].proofs.age()
			maxAge = max(maxAge, age)
		})
		cl.store.mu.Lock()
		defer cl.store.mu.Unlock()
		t.Logf("%d calls in %v, the oldest proof %v", cl.store.calls-before, window, maxAge)
		assert.Check(t, cl.store.calls-before <= storeReaders*int(window/proofInterval)+storeReaders)
		assert.Check(t, maxAge < fallbackProofAge)
	})
}

// TestRequestWaitsForProof: a gateway whose VM was suspended has an old proof when it resumes; its first requests
// wait for a new one instead of being rejected.
func TestRequestWaitsForProof(t *testing.T) {
	withKeyedCluster(t, func(t *testing.T, cl *keyedCluster) {
		p := cl.gateways[3].proofs
		cl.clockOffsets[3].Add(int64(time.Minute))
		assert.Assert(t, !p.bounds.Trusted(p.age()))
		start := time.Now()
		assert.Assert(t, p.trusted(t.Context()))
		assert.Assert(t, time.Since(start) < proofWait)
		assert.Assert(t, p.provedForUnknownKey(t.Context()))
	})
}

// TestRequestWithoutProofIsRejected: a request waits for a proof for a bounded time.
func TestRequestWithoutProofIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		epoch := time.Now()
		p := newProofs(freshness.Bounds{Revoke: revoke}, func() time.Duration { return time.Since(epoch) })
		assert.Assert(t, !p.trusted(t.Context()))
		assert.Equal(t, time.Since(epoch), proofWait)
		p.recordVersion(1)
		p.recordRead(1, 1, p.now())
		assert.Assert(t, p.trusted(t.Context()))
		time.Sleep(revoke - proofMargin)
		assert.Assert(t, !p.trusted(t.Context()))
	})
}
