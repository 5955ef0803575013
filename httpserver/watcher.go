package httpserver

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Causes with which the context of a watched request ends.
var (
	// ErrCallerGone means that the caller closed its connection.
	ErrCallerGone = merry.Sentinel("caller gone")
	// ErrDeadline means that the request's time is over.
	ErrDeadline = merry.Sentinel("deadline exceeded")
)

// Watcher notices callers that have left while their request is in progress. One
// goroutine looks at all of them, since nbhttp reports a closed connection to a
// handler only after the handler has returned.
type Watcher struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]watched
}

type watched struct {
	caller Caller
	cancel context.CancelCauseFunc
}

// NewWatcher returns a watcher without requests.
func NewWatcher() *Watcher {
	return &Watcher{open: make(map[uint64]watched)}
}

// Watch returns a context that ends when the caller leaves or the deadline
// passes; end must be called when the request is over.
func (w *Watcher) Watch(caller Caller, deadline time.Time) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	ctx, stop := context.WithDeadlineCause(ctx, deadline, ErrDeadline)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	id := w.next
	w.open[id] = watched{caller: caller, cancel: cancel}
	return ctx, func() {
		w.mu.Lock()
		delete(w.open, id)
		w.mu.Unlock()
		stop()
		cancel(nil)
	}
}

// Run looks every interval until ctx ends.
func (w *Watcher) Run(ctx context.Context, every time.Duration) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.sweep()
		}
	}
}

func (w *Watcher) sweep() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.open {
		if r.caller.Gone() {
			r.cancel(ErrCallerGone)
		}
	}
}
