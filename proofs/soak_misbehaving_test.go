package proofs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// misbehavingOnly selects crowds of clients that don't behave, and faults of gateways.
	misbehavingOnly = -5
	// misbehavingFaults is the number of faults of such a run.
	misbehavingFaults = 12
	// soakMemoryBytes and soakMaxFiles are what a gateway of the soak has.
	soakMemoryBytes, soakMaxFiles = 200_000_000, 1000
	// maxSoakCrowd bounds the clients of one crowd.
	maxSoakCrowd = 64
)

// crowdKinds are crowds of clients that don't behave, at the callers' listener of a gateway, beside the ordinary ones.
func (x *soaker) crowdKinds() []faultKind {
	var kinds []faultKind
	for _, kind := range misbehavingKinds(crowdRequest) {
		kind.clients = min(kind.clients, maxSoakCrowd)
		kinds = append(kinds, faultKind{"clients: " + kind.name, func(i int) (string, func()) {
			g := x.gateway(i)
			s := &misbehavingCrowd{addr: g.callers, kind: kind}
			s.start()
			return g.vm, s.close
		}})
	}
	return kinds
}

// watchGateways returns a function that checks that no gateway has had more memory or descriptors than its VM has. It must be called
// once.
func (x *soaker) watchGateways(t *testing.T) (check func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	memory, files := int64(0), 0
	go func() {
		defer close(done)
		tick := time.NewTicker(samplingInterval)
		defer tick.Stop()
		for {
			for _, g := range x.c.gateways {
				memory, files = max(memory, residentPeak(g.proc.pid())), max(files, openFiles(g.proc.pid()))
			}
			select {
			case <-tick.C:
			case <-stop:
				return
			}
		}
	}()
	return func() {
		close(stop)
		<-done
		t.Logf("gateways had at most %d MB and %d descriptors", memory/1_000_000, files)
		assert.Check(t, memory <= soakMemoryBytes, "%d MB", memory/1_000_000)
		assert.Check(t, files <= soakMaxFiles, "%d descriptors", files)
	}
}
