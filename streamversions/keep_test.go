package streamversions

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// countingTable counts writes.
type countingTable struct {
	store.Table
	writes int
}

func (t *countingTable) Commit(ctx context.Context, txn store.Txn) error {
	t.writes++
	return t.Table.Commit(ctx, txn)
}

// alone is the Network of a router that has no others.
type alone struct{}

func (alone) Others() []string    { return nil }
func (alone) Keepers() []string   { return nil }
func (alone) Ask([]string, Query) {}

// TestStreamsAreKeptBeforeTheNextVersion guards against streams that nobody knows after all routers are lost, since they
// were begun while their service had one version; and against a price that each stream adds to.
func TestStreamsAreKeptBeforeTheNextVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		table := &countingTable{Table: memory.New(memory.Options{}).Table()}
		d := New(Config{Network: alone{}, Rows: NewStreamRows(table, "vm/1"), Metrics: metrics.NewSet()})
		go d.KeepStreams(ctx, StoreCalls{Writes: func() bool { return true }, Report: func(error) {}, BackOff: func(int) {}})
		kept := func() int {
			streams, err := NewStreamRows(table, "reader").read(ctx)
			assert.NilError(t, err)
			return len(streams)
		}
		begin := func(n int) {
			for i := range n {
				ref := forward.StreamRef{Service: "llm", ID: fmt.Sprint(time.Now(), i)}
				d.Begun(ref, "v1", time.Now().Add(10*time.Minute))
				time.Sleep(20 * time.Millisecond)
			}
		}
		d.Observe(engines("v1"))
		begin(50)
		time.Sleep(time.Second)
		assert.Equal(t, kept(), 50)
		assert.Assert(t, table.writes <= 3, "%d writes of 50 streams in two seconds", table.writes)
		time.Sleep(time.Minute)
		assert.Assert(t, table.writes <= 3, "%d writes without a new stream", table.writes)

		begin(1)
		d.Observe(engines("v1", "v2"))
		begin(1)
		time.Sleep(minKeepInterval)
		assert.Equal(t, kept(), 52, "the next version is no time to wait")
	})
}

// TestStreamsOfPatientClientsAreForgotten guards against records of streams that fill the memory, and the store's row, since
// their clients state a time limit of a year.
func TestStreamsOfPatientClientsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Network: alone{}, Metrics: metrics.NewSet()})
		d.Observe(engines("v1"))
		d.Begun(forward.StreamRef{Service: "llm", ID: "a"}, "v1", time.Now().Add(bounded.MaxDuration))
		time.Sleep(MaxStreamLeft - time.Second)
		d.Expire(true)
		assert.Equal(t, d.records.Len(), 1)
		time.Sleep(2 * time.Second)
		d.Expire(true)
		assert.Equal(t, d.records.Len()+len(d.own), 0)
	})
}

// entrusting is the Network of a router that has others keep its streams.
type entrusting struct{ alone }

func (entrusting) Keepers() []string { return []string{"keeper"} }

// TestKeepersKeepTheStreamsOfAll guards against calls to the store by each of many routers while services have one version,
// and against streams that are kept by nobody as the next one begins.
func TestKeepersKeepTheStreamsOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		shared := memory.New(memory.Options{}).Table()
		start := func(process string, n Network) (*Directory, *countingTable) {
			table := &countingTable{Table: shared}
			d := New(Config{Network: n, Rows: NewStreamRows(table, process), Metrics: metrics.NewSet()})
			go d.KeepStreams(ctx, StoreCalls{Writes: func() bool { return true }, Report: func(error) {}, BackOff: func(int) {}})
			d.Observe(engines("v1"))
			return d, table
		}
		keeper, _ := start("vm/1", alone{})
		other, calls := start("vm/2", entrusting{})
		kept := func() map[streamversion.Key]string {
			streams, err := NewStreamRows(shared, "reader").read(ctx)
			assert.NilError(t, err)
			return versionsOf(streams)
		}
		begin := func(id string) {
			other.Begun(forward.StreamRef{Service: "llm", ID: id}, "v1", time.Now().Add(10*time.Second))
			told, entrusted := other.TakeUpdates()
			assert.Equal(t, len(told), 0)
			assert.Equal(t, len(entrusted), 1)
			keeper.Receive(entrusted)
		}
		begin("a")
		begin("b")
		time.Sleep(oneVersionInterval)
		assert.Equal(t, len(kept()), 2)
		assert.Equal(t, calls.writes, 0)

		keeper.Observe(engines("v1", "v2"))
		keeper.Begun(forward.StreamRef{Service: "llm", ID: "c"}, "v2", time.Now().Add(10*time.Second))
		time.Sleep(minKeepInterval)
		assert.Equal(t, len(kept()), 3, "what was entrusted is kept on while the other router may not know of the version")
		other.Observe(engines("v1", "v2"))
		time.Sleep(minKeepInterval)
		assert.Equal(t, calls.writes, 1)

		time.Sleep(11 * time.Second)
		keeper.Expire(true)
		other.Expire(true)
		time.Sleep(time.Second)
		assert.Equal(t, len(kept()), 0)
	})
}
