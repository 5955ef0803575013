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
	// ErrDeadline means that the request's deadline has passed.
	ErrDeadline = merry.Sentinel("deadline exceeded")
)

// Watcher detects callers that disconnect while their request is in progress. One goroutine checks all of them, since
// nbhttp reports a closed connection to a handler only after the handler has returned.
type Watcher struct {
	mu       sync.Mutex
	lastID   uint64
	requests map[uint64]watched
}

type watched struct {
	caller Caller
	cancel context.CancelCauseFunc
}

// NewWatcher returns a Watcher that watches no requests yet.
func NewWatcher() *Watcher {
	return &Watcher{requests: make(map[uint64]watched)}
}

// Watch returns a context that ends when the caller disconnects or the deadline passes; end must be called when the
// request is done.
func (w *Watcher) Watch(caller Caller, deadline time.Time) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	ctx, stop := context.WithDeadlineCause(ctx, deadline, ErrDeadline)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	id := w.lastID
	w.requests[id] = watched{caller: caller, cancel: cancel}
	return ctx, func() {
		w.mu.Lock()
		delete(w.requests, id)
		w.mu.Unlock()
		stop()
		cancel(nil)
	}
}

// Run checks the callers at every interval until ctx ends.
func (w *Watcher) Run(ctx context.Context, interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.scan()
		}
	}
}

func (w *Watcher) scan() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.requests {
		if r.caller.Gone() {
			r.cancel(ErrCallerGone)
		}
	}
}
