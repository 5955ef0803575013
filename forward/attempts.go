package forward

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"
)

// errIncarnationTerminated is the cause of an attempt cancelled because its server has restarted: the run is lost.
var errIncarnationTerminated = errors.New("the server has started again")

// terminatedTTL is how long a terminated incarnation is remembered, because of the KV caches that it exported: they
// are fetched within seconds.
const terminatedTTL = 30 * time.Second

// attempts are the attempts in progress, by server ID. It is safe for concurrent use.
type attempts struct {
	mu   sync.Mutex
	byID map[string]map[*attempt]struct{}
	// terminated is when incarnations of servers were found to have terminated.
	terminated map[string]time.Time
}

type attempt struct{ cancel context.CancelCauseFunc }

func newAttempts() *attempts {
	return &attempts{byID: map[string]map[*attempt]struct{}{}, terminated: map[string]time.Time{}}
}

// begin registers an attempt. The returned context is cancelled when the caller calls end, and when the server has
// restarted.
func (a *attempts) begin(ctx context.Context, id string) (_ context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	x := &attempt{cancel: cancel}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID[id] == nil {
		a.byID[id] = map[*attempt]struct{}{}
	}
	a.byID[id][x] = struct{}{}
	return ctx, func() {
		cancel(nil)
		a.remove(id, x)
	}
}

func (a *attempts) remove(id string, x *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byID[id], x)
	if len(a.byID[id]) == 0 {
		delete(a.byID, id)
	}
}

// terminate cancels the attempts at a server and returns their number.
func (a *attempts) terminate(id string, now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.terminated, func(_ string, at time.Time) bool { return now.Sub(at) >= terminatedTTL })
	a.terminated[id] = now
	for x := range a.byID[id] {
		x.cancel(errIncarnationTerminated)
	}
	return len(a.byID[id])
}

// hasTerminated reports whether an incarnation of a server was found to have terminated.
func (a *attempts) hasTerminated(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.terminated[id]
	return ok
}

// EndIncarnation cancels the attempts at an incarnation of a server that a later one has replaced, and returns their
// number. They are handled as after a crash: resumed, retried or failed, as their routes allow.
func (f *Forwarder) EndIncarnation(id string) int {
	defer f.serverTerminated(id, signRestarted)
	return f.attempts.terminate(id, time.Now())
}
