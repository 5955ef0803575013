package forward

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"
)

// errStartEnded is why an attempt ends at a server that has started again: what ran there is gone.
var errStartEnded = errors.New("the server has started again")

// endedLife is how long a start that has ended is remembered, for what it handed over: KV caches are
// fetched within some seconds.
const endedLife = 30 * time.Second

// attempts are the attempts in progress, by the ID of their server. It is safe for concurrent use.
type attempts struct {
	mu   sync.Mutex
	byID map[string]map[*attempt]struct{}
	// ended is when starts of servers were found to have ended.
	ended map[string]time.Time
}

type attempt struct{ cancel context.CancelCauseFunc }

func newAttempts() *attempts {
	return &attempts{byID: map[string]map[*attempt]struct{}{}, ended: map[string]time.Time{}}
}

// begin notes an attempt. The returned context ends with it, when the caller calls end, and when the
// server has started again.
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

// endAll ends the attempts at a server and returns their number.
func (a *attempts) endAll(id string, now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.ended, func(_ string, at time.Time) bool { return now.Sub(at) >= endedLife })
	a.ended[id] = now
	for x := range a.byID[id] {
		x.cancel(errStartEnded)
	}
	return len(a.byID[id])
}

// hasEnded reports whether a start of a server was found to have ended.
func (a *attempts) hasEnded(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.ended[id]
	return ok
}

// EndIncarnation ends the attempts at a start of a server that was followed by a later one, and returns their
// number. They go on as after a crash: resumed, repeated or told, as their routes allow.
func (f *Forwarder) EndIncarnation(id string) int {
	defer f.serverEnded(id, endedRestarted)
	return f.attempts.endAll(id, time.Now())
}
