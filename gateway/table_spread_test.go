package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/simnet"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// The failure: gateways with small links did not apply confirmed versions of the configuration for many seconds, and
// rejected requests of new routes with 404 or sent requests to the services of an older version. Their links were
// full of route tables that they already had. A report held the whole table for a gateway that seemed to be behind,
// an exchange timed out after 700 ms, and a failed exchange conveyed no version of the other side: the same table
// followed 300 ms later, from twenty gateways at once, so that none ever came through, and neither did the store's
// answer with the next version. The load that started it, reading a large table from the store, was long over.
//
// From 6.5 s on all 21 gateways had version 7 (231 kB). The log of one gateway, two seconds later:
//
//	"event":725,"text":"exchanges failed or route tables handed out","exchanges":30,"failed":10,
//	"tables":10,"table_bytes":2311010,"sent":2159004,"received":14925
//
// Over all gateways from 8 to 12 s: 404 tables, 93 MB, 493 of 1,179 exchanges failed.

const (
	// largeLinks and smallLinks are the numbers of gateways with either link size.
	largeLinks, smallLinks = 8, 12
	// largeLink and smallLink are 200 and 10 Mbit/s, in bytes a second.
	largeLink, smallLink = 25_000_000, 1_250_000
	// tableBytes is the size of a table of 2,850 routes.
	tableBytes = 450_000
)

// tableStore decodes tables that consist of their version and filler.
type tableStore struct{ Store }

func (tableStore) DecodeManifest(encoded []byte) (*route.Table, error) {
	version, _, _ := strings.Cut(string(encoded), " ")
	n, err := strconv.ParseInt(version, 10, 64)
	return &route.Table{Version: n}, err
}

// encodedVersion returns a table of tableBytes that hardly compresses.
func encodedVersion(version int64) []byte {
	out := make([]byte, tableBytes)
	r := rand.New(rand.NewPCG(1, uint64(version)))
	for i := range out {
		out[i] = byte(r.Uint32())
	}
	copy(out, fmt.Sprint(version, " "))
	return out
}

// cluster is a set of gateways connected by links of two sizes; the test simulates the store.
type cluster struct {
	gateways     []*Service
	hosts        []*simnet.Host
	large, small []int
	// clockOffsets is by how much each gateway's clock is ahead, in nanoseconds: for how long its VM was suspended.
	clockOffsets []*atomic.Int64
}

func newCluster(ctx context.Context, large, small int) *cluster {
	return newClusterWith(ctx, large, small, Settings{}, func(int) Store { return tableStore{} })
}

// newClusterWith returns a cluster with its own settings and stores.
func newClusterWith(ctx context.Context, large, small int, settings Settings, store func(i int) Store) *cluster {
	epoch := time.Now()
	cl, network := &cluster{}, simnet.New()
	addr := func(i int) string { return fmt.Sprintf("10.0.0.%d:1", 10+i) }
	for i := range large + small {
		rate := largeLink
		if i >= large {
			rate = smallLink
			cl.small = append(cl.small, i)
		} else {
			cl.large = append(cl.large, i)
		}
		deps := testDeps()
		offset := &atomic.Int64{}
		deps.Clock = func() time.Duration { return time.Since(epoch) + time.Duration(offset.Load()) }
		cl.clockOffsets = append(cl.clockOffsets, offset)
		deps.Store, deps.Log = store(i), &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
		settings.VM, settings.ControlAddr, settings.Seeds = addr(i), addr(i), []string{addr(0), addr(1)}
		s := New(settings, deps)
		host := network.Host(addr(i), rate)
		s.peers.SetNetwork(host)
		cl.gateways, cl.hosts = append(cl.gateways, s), append(cl.hosts, host)
		go s.exchangeReports(ctx)
	}
	return cl
}

// readTable simulates the store's answer with a version to a gateway, next to other bytes on its link.
func (cl *cluster) readTable(i int, version int64, otherBytes int) {
	cl.hosts[i].Occupy(tableBytes + otherBytes)
	cl.gateways[i].installTable(&route.Table{Version: version}, encodedVersion(version), "store")
}

func (cl *cluster) readTableAll(members []int, version int64, otherBytes int) {
	for _, i := range members {
		go cl.readTable(i, version, otherBytes)
	}
}

func (cl *cluster) versions() []int64 {
	out := make([]int64, 0, len(cl.gateways))
	for _, s := range cl.gateways {
		out = append(out, s.view.version())
	}
	return out
}

func (cl *cluster) assertVersions(t *testing.T, want int64) {
	t.Helper()
	for i, v := range cl.versions() {
		assert.Equal(t, v, want, "gateway %d", i)
	}
}

// membershipTime is how long the gateways of a cluster take to know each other.
const membershipTime = 5 * time.Second

// propagationTime is the time within which a confirmed change is in force everywhere.
const propagationTime = 2 * time.Second

func withCluster(t *testing.T, check func(*testing.T, *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		cl := newCluster(ctx, largeLinks, smallLinks)
		time.Sleep(membershipTime)
		check(t, cl)
		cancel()
		synctest.Wait()
	})
}

// TestKnownTablesAreNotSent: all gateways read a large table from the store, those with small links while they
// receive much other data. Afterwards their links are free for the next version.
func TestKnownTablesAreNotSent(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.readTableAll(cl.large, 7, 0)
		cl.readTableAll(cl.small, 7, smallLink)
		time.Sleep(membershipTime)
		cl.assertVersions(t, 7)
		var before []int
		for _, i := range cl.small {
			before = append(before, cl.hosts[i].Received())
		}
		traffic := cl.gateways[0].peers.Traffic()
		const watched = 10
		time.Sleep(watched * time.Second)
		for n, i := range cl.small {
			perS := (cl.hosts[i].Received() - before[n]) / watched
			assert.Check(t, perS < smallLink/20, "gateway %d receives %d bytes a second", i, perS)
		}
		d := cl.gateways[0].peers.Traffic().Since(traffic)
		assert.Equal(t, d.Failed, int64(0), "of %d exchanges", d.Exchanges)
		cl.readTableAll(cl.large, 8, 0)
		cl.readTableAll(cl.small, 8, 0)
		time.Sleep(propagationTime)
		cl.assertVersions(t, 8)
	})
}

// TestNoFetchFromGatewaysWithoutTable: gateways that start together without a table don't request it from each other,
// and so don't back off from each other once one of them has it.
func TestNoFetchFromGatewaysWithoutTable(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		for i, s := range cl.gateways {
			assert.Equal(t, s.metrics.Counter(metrics.Fetches).Count(), int64(0), "gateway %d", i)
		}
		cl.readTable(0, 7, 0)
		time.Sleep(propagationTime)
		cl.assertVersions(t, 7)
		for i, s := range cl.gateways {
			assert.Equal(t, s.metrics.Counter(metrics.FetchesFailed).Count(), int64(0), "gateway %d", i)
		}
	})
}

// TestTableReachesGatewaysWithoutStore: the gateways with small links can't reach the store, and all others have a
// large table.
func TestTableReachesGatewaysWithoutStore(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.readTableAll(cl.large, 7, 0)
		time.Sleep(propagationTime)
		cl.assertVersions(t, 7)
	})
}
