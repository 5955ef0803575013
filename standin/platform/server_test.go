package platform

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	port "github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
	"github.com/hibiscusspur/hibiscusspur/store/storetest"
)

// patience is the timeout of clients whose verdict must not depend on time.
var patience = port.Timeout(time.Minute)

func start(t *testing.T, o Options) (*Server, *http.Client) {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	s, err := Start(o)
	assert.NilError(t, err)
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(func() {
		hc.CloseIdleConnections()
		s.Stop()
	})
	return s, hc
}

func TestContract(t *testing.T) {
	t.Run("table", func(t *testing.T) {
		storetest.TestTable(t, func(t *testing.T) port.Table {
			s, hc := start(t, Options{})
			return port.NewHTTPTable(s.URL(), hc, patience)
		})
	})
	t.Run("objects", func(t *testing.T) {
		storetest.TestObjects(t, func(t *testing.T) port.Objects {
			s, hc := start(t, Options{})
			return port.NewHTTPObjects(s.URL(), hc, patience)
		})
	})
	t.Run("vms", func(t *testing.T) { storetest.TestVMs(t, vmList) })
	t.Run("weights", func(t *testing.T) { storetest.TestWeights(t, weightStore) })
	t.Run("faults", func(t *testing.T) { storetest.TestFaults(t, faulty) })
}

func vmList(t *testing.T) storetest.VMList {
	s, hc := start(t, Options{})
	c := NewControl(s.URL(), hc)
	return storetest.VMList{
		VMs:    port.NewHTTPVMs(s.URL(), hc, patience),
		Set:    func(vm port.VM) error { return c.SetVM(t.Context(), vm) },
		Remove: func(id string) error { return c.RemoveVM(t.Context(), id) },
		SetLag: func(d time.Duration) error { return c.SetVMLag(t.Context(), d) },
	}
}

func weightStore(t *testing.T) storetest.WeightStore {
	s, hc := start(t, Options{})
	c := NewControl(s.URL(), hc)
	return storetest.WeightStore{
		Weights: port.NewHTTPWeights(s.URL(), hc, patience),
		Put: func(model, version string, body []byte) error {
			return c.PutWeights(t.Context(), model, version, body)
		},
	}
}

func faulty(t *testing.T) storetest.FaultyPlatform {
	s, hc := start(t, Options{})
	s.Store().SetPatternWeights(storetest.SeedModel, storetest.SeedVersion, storetest.SeedWeightBytes)
	c := NewControl(s.URL(), hc)
	kinds := map[storetest.Fault]Kind{
		storetest.Refuse:     Refuse,
		storetest.LoseAnswer: LoseAnswer,
		storetest.Hang:       Hang,
		storetest.HangAfter:  HangAfter,
	}
	return storetest.FaultyPlatform{
		Table:   port.NewHTTPTable(s.URL(), hc, patience),
		Objects: port.NewHTTPObjects(s.URL(), hc, patience),
		VMs:     port.NewHTTPVMs(s.URL(), hc, patience),
		Weights: port.NewHTTPWeights(s.URL(), hc, patience),
		Inject: func(p memory.Port, write bool, f storetest.Fault) {
			side := Reads
			if write {
				side = Writes
			}
			_, err := c.SetFault(t.Context(), Fault{Port: p, Side: side, Kind: kinds[f]})
			assert.NilError(t, err)
		},
		Clear:        func() { assert.NilError(t, c.ClearFault(t.Context(), 0)) },
		AwaitBlocked: func() { awaitHeld(t, s) },
	}
}

// awaitHeld waits until a call of any port is lost to a fault.
func awaitHeld(t *testing.T, s *Server) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, c := range s.Counters() {
			if c.Lost > 0 {
				return poll.Success()
			}
		}
		return poll.Continue("no call held")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
}

// TestSilentConnection: the connection of the call stays silent after the fault
// is over, and the next call works on a new one.
func TestSilentConnection(t *testing.T) {
	s, hc := start(t, Options{})
	tb := port.NewHTTPTable(s.URL(), hc, patience)
	_, err := tb.List(t.Context(), "", "", 1)
	assert.NilError(t, err)
	_, err = s.SetFault(Fault{Kind: Silence, Count: 1})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- tb.Commit(ctx, port.Txn{Writes: []port.Write{{Key: "k"}}})
	}()
	awaitHeld(t, s)
	s.ClearFault(0)
	_, err = tb.Get(t.Context(), "k")
	assert.ErrorIs(t, err, port.ErrNotFound)
	select {
	case err := <-ended:
		t.Fatalf("the silent connection ended: %v", err)
	default:
	}
	cancel()
	assert.ErrorIs(t, <-ended, port.ErrIndeterminate)
}

func TestCallTimeout(t *testing.T) {
	s, hc := start(t, Options{})
	_, err := s.SetFault(Fault{Kind: Hang})
	assert.NilError(t, err)
	short := port.Timeout(20 * time.Millisecond)
	_, err = port.NewHTTPTable(s.URL(), hc, short).Get(t.Context(), "k")
	assert.ErrorIs(t, err, port.ErrUnavailable)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = port.NewHTTPWeights(s.URL(), hc, short).Open(t.Context(), "m", "1")
	assert.ErrorIs(t, err, port.ErrUnavailable)
}

func TestStoppedServer(t *testing.T) {
	s, hc := start(t, Options{})
	tb := port.NewHTTPTable(s.URL(), hc, patience)
	s.Stop()
	hc.CloseIdleConnections()
	err := tb.Commit(t.Context(), port.Txn{Writes: []port.Write{{Key: "k"}}})
	assert.ErrorIs(t, err, port.ErrUnavailable)
}

// TestLimit: what exceeds a limit is refused without effect.
func TestLimit(t *testing.T) {
	s, hc := start(t, Options{WritesPerSecond: 1e-4, ReadsPerSecond: 1e-4})
	tb := port.NewHTTPTable(s.URL(), hc, patience)
	ob := port.NewHTTPObjects(s.URL(), hc, patience)
	assert.NilError(t, tb.Commit(t.Context(), port.Txn{Writes: []port.Write{{Key: "a"}}}))
	assert.ErrorIs(t, ob.Put(t.Context(), "a", nil), port.ErrUnavailable)
	_, err := tb.Get(t.Context(), "a")
	assert.NilError(t, err)
	_, err = ob.List(t.Context(), "")
	assert.ErrorIs(t, err, port.ErrUnavailable)
	_, err = s.Store().Objects().Get(t.Context(), "a")
	assert.ErrorIs(t, err, port.ErrNotFound)
	assert.DeepEqual(t, s.Counters()[memory.PortObjects].Limited, int64(2))
}

func TestFaultCount(t *testing.T) {
	s, hc := start(t, Options{})
	c := NewControl(s.URL(), hc)
	for _, f := range []Fault{{Kind: "odd"}, {Kind: Refuse, Port: "odd"}, {Kind: Refuse, Side: "odd"}, {Kind: Delay, Delay: -1}} {
		_, err := c.SetFault(t.Context(), f)
		assert.ErrorIs(t, err, port.ErrInvalid)
	}
	_, err := c.SetFault(t.Context(), Fault{Port: memory.PortTable, Side: Reads, Kind: Refuse, Count: 2})
	assert.NilError(t, err)
	tb := port.NewHTTPTable(s.URL(), hc, patience)
	assert.NilError(t, tb.Commit(t.Context(), port.Txn{Writes: []port.Write{{Key: "a"}}}))
	for _, want := range []bool{false, false, true} {
		_, err := tb.Get(t.Context(), "a")
		assert.Equal(t, err == nil, want)
	}
	counters, err := c.Counters(t.Context())
	assert.NilError(t, err)
	want := PortCounters{Reads: 3, Writes: 1, Refused: 2, BytesOut: counters[memory.PortTable].BytesOut}
	assert.DeepEqual(t, counters[memory.PortTable], want)
}

// TestStopAfterStart: a server that never had a call stops as well, and twice.
func TestStopAfterStart(t *testing.T) {
	for range 50 {
		s, _ := start(t, Options{})
		s.Stop()
		s.Stop()
	}
}

// TestClosingCallers: callers that end their connection after each call do not
// take away the connections of others.
func TestClosingCallers(t *testing.T) {
	s, _ := start(t, Options{})
	closing := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	tb := port.NewHTTPTable(s.URL(), closing, patience)
	txn := port.Txn{Writes: []port.Write{{Key: "k"}}}
	var wg sync.WaitGroup
	errs := make(chan error, 8*100)
	for range 8 {
		wg.Go(func() {
			for range 100 {
				errs <- tb.Commit(t.Context(), txn)
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		assert.NilError(t, err)
	}
}
