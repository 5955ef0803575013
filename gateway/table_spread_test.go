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

// Confirmed versions of the configuration were not in force for many seconds at gateways with small
// links, which refused new routes with 404 or sent requests to the services of an older version. Their
// links were full of route tables that they had. A report held the whole table for a gateway that
// was thought to be behind, an exchange ended after 700 ms, and one that failed taught nothing of the
// other side: the same table followed 300 ms later, from twenty gateways at once, so that none ever
// came through, and neither did the store's answer with the next version. The load that began it, a
// large table read from the store, was long over.
//
// From 6.5 s on all 21 gateways had version 7 (231 kB). Of one gateway, two seconds later:
//
//	"event":725,"text":"exchanges failed or route tables handed out","exchanges":30,"failed":10,
//	"tables":10,"table_bytes":2311010,"sent":2159004,"received":14925
//
// Over all gateways from 8 to 12 s: 404 tables, 93 MB, 493 of 1,179 exchanges failed.

const (
	// largeLinks and smallLinks are the gateways of either kind.
	largeLinks, smallLinks = 8, 12
	// largeLink and smallLink are 200 and 10 Mbit/s, in bytes a second.
	largeLink, smallLink = 25_000_000, 1_250_000
	// tableBytes is the size of 2,850 routes.
	tableBytes = 450_000
)

// tableStore decodes tables that consist of their version and filling.
type tableStore struct{ Store }

func (tableStore) DecodeManifest(encoded []byte) (*route.Table, error) {
	version, _, _ := strings.Cut(string(encoded), " ")
	n, err := strconv.ParseInt(version, 10, 64)
	return &route.Table{Version: n}, err
}

// encodedVersion is a table of tableBytes that hardly compresses.
func encodedVersion(version int64) []byte {
	out := make([]byte, tableBytes)
	r := rand.New(rand.NewPCG(1, uint64(version)))
	for i := range out {
		out[i] = byte(r.Uint32())
	}
	copy(out, fmt.Sprint(version, " "))
	return out
}

// fleet is gateways that meet over links of two sizes; the store is played by the test.
type fleet struct {
	gateways     []*Service
	hosts        []*simnet.Host
	large, small []int
	// ahead is by how much the clock of each is ahead, in nanoseconds: for how long it was frozen.
	ahead []*atomic.Int64
}

func newFleet(ctx context.Context, large, small int) *fleet {
	return newFleetWith(ctx, large, small, Settings{}, func(int) Store { return tableStore{} })
}

// newFleetWith is a fleet with stores of its own.
func newFleetWith(ctx context.Context, large, small int, set Settings, store func(i int) Store) *fleet {
	epoch := time.Now()
	f, network := &fleet{}, simnet.New()
	addr := func(i int) string { return fmt.Sprintf("10.0.0.%d:1", 10+i) }
	for i := range large + small {
		rate := largeLink
		if i >= large {
			rate = smallLink
			f.small = append(f.small, i)
		} else {
			f.large = append(f.large, i)
		}
		deps := testDeps()
		ahead := &atomic.Int64{}
		deps.Clock = func() time.Duration { return time.Since(epoch) + time.Duration(ahead.Load()) }
		f.ahead = append(f.ahead, ahead)
		deps.Store, deps.Log = store(i), &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
		set.VM, set.Control, set.Seeds = addr(i), addr(i), []string{addr(0), addr(1)}
		s := New(set, deps)
		host := network.Host(addr(i), rate)
		s.peers.SetNetwork(host)
		f.gateways, f.hosts = append(f.gateways, s), append(f.hosts, host)
		go s.meet(ctx)
	}
	return f
}

// read plays the store's answer with a version to a gateway, beside other bytes on its link.
func (f *fleet) read(i int, version int64, beside int) {
	f.hosts[i].Occupy(tableBytes + beside)
	f.gateways[i].takeTable(&route.Table{Version: version}, encodedVersion(version), "store")
}

func (f *fleet) readAll(members []int, version int64, beside int) {
	for _, i := range members {
		go f.read(i, version, beside)
	}
}

func (f *fleet) versions() []int64 {
	out := make([]int64, 0, len(f.gateways))
	for _, s := range f.gateways {
		out = append(out, s.view.version())
	}
	return out
}

func (f *fleet) assertVersions(t *testing.T, want int64) {
	t.Helper()
	for i, v := range f.versions() {
		assert.Equal(t, v, want, "gateway %d", i)
	}
}

// meetTime is how long the gateways of a fleet take to know each other.
const meetTime = 5 * time.Second

// inForce is the time within which a confirmed change is in force everywhere.
const inForce = 2 * time.Second

func withFleet(t *testing.T, check func(*testing.T, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, largeLinks, smallLinks)
		time.Sleep(meetTime)
		check(t, f)
		cancel()
		synctest.Wait()
	})
}

// TestTablesThatAllHaveAreNotSent: all gateways read a large table from the store, those with small
// links while they have much else to receive. Then their links are free for what comes next.
func TestTablesThatAllHaveAreNotSent(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.readAll(f.large, 7, 0)
		f.readAll(f.small, 7, smallLink)
		time.Sleep(meetTime)
		f.assertVersions(t, 7)
		var before []int
		for _, i := range f.small {
			before = append(before, f.hosts[i].Received())
		}
		traffic := f.gateways[0].peers.Traffic()
		const watched = 10
		time.Sleep(watched * time.Second)
		for n, i := range f.small {
			perS := (f.hosts[i].Received() - before[n]) / watched
			assert.Check(t, perS < smallLink/20, "gateway %d receives %d bytes a second", i, perS)
		}
		d := f.gateways[0].peers.Traffic().Since(traffic)
		assert.Equal(t, d.Failed, int64(0), "of %d exchanges", d.Exchanges)
		f.readAll(f.large, 8, 0)
		f.readAll(f.small, 8, 0)
		time.Sleep(inForce)
		f.assertVersions(t, 8)
	})
}

// TestNothingIsFetchedFromThoseWithoutATable: gateways that start together and know no table yet don't ask
// each other for it, and so don't leave each other alone once one of them has it.
func TestNothingIsFetchedFromThoseWithoutATable(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for i, s := range f.gateways {
			assert.Equal(t, s.met.Counter(metrics.Fetches).Count(), int64(0), "gateway %d", i)
		}
		f.read(0, 7, 0)
		time.Sleep(inForce)
		f.assertVersions(t, 7)
		for i, s := range f.gateways {
			assert.Equal(t, s.met.Counter(metrics.FetchesFailed).Count(), int64(0), "gateway %d", i)
		}
	})
}

// TestTableReachesThoseThatTheStoreShutsOut: the gateways with small links don't reach the store, all
// others have a large table.
func TestTableReachesThoseThatTheStoreShutsOut(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.readAll(f.large, 7, 0)
		time.Sleep(inForce)
		f.assertVersions(t, 7)
	})
}
