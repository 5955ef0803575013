package proofs

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	splatform "github.com/hibiscusspur/hibiscusspur/standin/platform"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// leavingBound is how long a leaving server may get new work after it is first announced as leaving,
// watchBound how much longer it is watched.
const (
	leavingBound = 3 * time.Second
	watchBound   = 2 * time.Second
)

var leavingRows = []struct {
	fault string
	// announce makes m1 leave; it may inject a fault first.
	announce func(c *cluster)
}{
	{"list says leaving", func(c *cluster) { c.setVMState("m1", store.VMLeaving) }},
	{"operator retires", func(c *cluster) { c.retire("m1") }},
	{"server signals", func(c *cluster) { c.signalLeave("m1") }},
	{"list says leaving, one entry cut from the store", func(c *cluster) {
		c.entries[1].store.block()
		c.setVMState("m1", store.VMLeaving)
	}},
	{"operator retires, one entry cut from the store", func(c *cluster) {
		c.entries[1].store.block()
		c.retire("m1")
	}},
	{"server signals, store down", func(c *cluster) {
		c.storeFault(splatform.Fault{Kind: splatform.Refuse})
		c.signalLeave("m1")
	}},
	{"operator retires, store down once one entry has it", func(c *cluster) {
		c.entries[1].store.block()
		c.retire("m1")
		c.awaitRevision(c.entries[0], c.head)
		c.storeFault(splatform.Fault{Kind: splatform.Hang})
	}},
	{"list says leaving, store down once one entry has read it", func(c *cluster) {
		c.entries[1].store.block()
		c.setVMState("m1", store.VMLeaving)
		eventually(c.t, startBound, "refused as leaving", func() bool { return status(c.backend("m1").adminURL+"/healthz") == 503 })
		c.storeFault(splatform.Fault{Kind: splatform.Hang})
	}},
	{"operator retires, sidecar restarted with the store down", func(c *cluster) {
		c.retire("m1")
		c.awaitRevision(c.entries[0], c.head)
		c.awaitRevision(c.entries[1], c.head)
		c.storeFault(splatform.Fault{Kind: splatform.Hang})
		c.backend("m1").sidecar.kill()
		c.backend("m1").sidecar.restart()
	}},
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	for _, r := range leavingRows {
		t.Run(r.fault, func(t *testing.T) {
			took := time.Duration(-1)
			row(t, 6, r.fault, func() string {
				return fmt.Sprintf("last new work %v after telling", took.Round(time.Millisecond))
			})
			c := newCluster(t, options{mixed: 2, entries: 2})
			l := c.startLoad(6, shortRequest)
			b := c.backend("m1")
			eventually(t, startBound, "work on m1", func() bool { return b.accepted() > 5 })
			start := time.Now()
			r.announce(c)
			took = b.lastWork(start, leavingBound+watchBound)
			assert.Assert(t, took <= leavingBound, "new work %v after the announcement", took)
			assert.Assert(t, c.backend("m2").accepted() > 5)
			l.finish()
		})
	}
}

// accepted counts the runs that an engine has accepted.
func (b *backend) accepted() int {
	s, _ := b.state()
	n := 0
	for _, k := range s.Accepted {
		n += k
	}
	return n
}

// lastWork watches an engine for the given time and returns how long after begun it last accepted new work.
func (b *backend) lastWork(start time.Time, watch time.Duration) time.Duration {
	last, n := time.Duration(0), b.accepted()
	for time.Since(start) < watch {
		now := time.Since(start)
		if k := b.accepted(); k > n {
			last, n = now, k
		}
		time.Sleep(pollInterval)
	}
	return last
}

func (c *cluster) setVMState(id string, s store.VMState) {
	c.t.Helper()
	assert.NilError(c.t, postJSON(c.storeURL+splatform.PathVM, store.VM{ID: id, Zone: "z1", State: s}))
}

func (c *cluster) retire(id string) uint64 {
	c.t.Helper()
	return c.commit(map[string]dissemination.Change{dissemination.BackendPrefix + id: {Body: c.backend(id).record(true)}})
}

func (c *cluster) signalLeave(id string) {
	c.t.Helper()
	res, err := control.Post(c.backend(id).adminURL+"/leave", "", nil)
	assert.NilError(c.t, err)
	_ = res.Body.Close()
	assert.Equal(c.t, res.StatusCode, http.StatusNoContent)
}

// awaitRevision waits until an entry has logged that it applied a revision.
func (c *cluster) awaitRevision(e *entry, revision uint64) {
	c.t.Helper()
	want := fmt.Sprintf(`"event":501,"text":"configuration revision applied","revision":%d}`, revision)
	eventually(c.t, startBound, "revision applied at "+e.id, func() bool { return strings.Contains(readLog(e.proc.log), want) })
}
