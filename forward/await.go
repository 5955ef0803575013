package forward

import (
	"context"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
)

// queueEntry is a request in the wait queue.
type queueEntry struct {
	run *kvmemory.Run
	// deadline is that of the request.
	deadline time.Time
	// quarantined reports whether the request may not be sent to any server.
	quarantined func() bool
	// reserve takes one request from the rate limit that an engine has declared.
	reserve func(id string) bool
	// verdicts are those on the engines for this request; nil for those of the service.
	verdicts eligibility.Verdicts
	// engine receives the ID of the engine to use, or the empty string if the request need not wait any more.
	engine chan string
}

func (q queueEntry) verdictsOr(other eligibility.Verdicts) eligibility.Verdicts {
	if q.verdicts == nil {
		return other
	}
	return q.verdicts
}

// await waits until the request is dispatched to an engine. The engine's memory is then taken for the run, until
// refused, failed or release is called.
func (e *engines) await(ctx context.Context, w *waitqueue.Waiter, entry queueEntry, capacity, slots int) (string, bool) {
	e.mu.Lock()
	e.sync(e.list(), capacity, slots)
	engine := make(chan string, 1)
	entry.engine = engine
	e.entries[w] = entry
	e.queue.Add(w)
	e.customers.wait(w, 1)
	e.dispatch()
	if e.queue.Len() > 0 {
		e.shortageAt = time.Now()
	}
	if _, queued := e.entries[w]; queued {
		e.customers.countWait(w)
		if w.Customer != "" {
			e.notify()
		}
	}
	e.mu.Unlock()

	timeout := time.NewTimer(time.Until(w.GiveUpAt))
	defer timeout.Stop()
	select {
	case id := <-engine:
		return id, id != ""
	case <-timeout.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.giveUp(w) {
		return "", false
	}
	id := <-engine
	return id, id != ""
}

// giveUp ends the wait of a request without an engine and reports whether it was waiting. The other gateways are told,
// since their requests may yield to it. The caller holds mu.
func (e *engines) giveUp(w *waitqueue.Waiter) bool {
	if !e.queue.Remove(w) {
		return false
	}
	e.customers.wait(w, -1)
	delete(e.entries, w)
	if w.Customer != "" {
		e.notify()
	}
	return true
}

// dropQuarantined ends the wait of requests that have been quarantined in the meantime. The caller holds mu.
func (e *engines) dropQuarantined() {
	for w, entry := range e.entries {
		if entry.quarantined() && e.giveUp(w) {
			entry.engine <- ""
		}
	}
}
