package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/registry"
)

// leavingTold is for how long a server that has said in an answer that it leaves is told of in reports: its entry in the
// store says so by then, or has lapsed.
const leavingTold = 30 * time.Second

// leavers are servers that have said in answers that they leave, as the other gateways are told. It is safe for concurrent
// use.
type leavers struct {
	mu sync.Mutex
	// heard is when each was first heard of, news are those that the others were not told at once yet.
	heard map[string]time.Time
	news  []string
}

func newLeavers() *leavers { return &leavers{heard: map[string]time.Time{}} }

// add notes a server that was not known to leave; those that said so to this process are news for the others.
func (l *leavers) add(id string, news bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[id] = time.Now()
	if news {
		l.news = append(l.news, id)
	}
}

// takeNews returns what the others are to be told at once.
func (l *leavers) takeNews() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.news
	l.news = nil
	return out
}

// all returns the servers to tell of in a report.
func (l *leavers) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.heard, func(_ string, at time.Time) bool { return time.Since(at) >= leavingTold })
	return slices.Sorted(maps.Keys(l.heard))
}

// MarkLeaving implements forward.View.
func (v *view) MarkLeaving(s registry.Server) bool { return v.leaves(s.ID, true) }

// toldLeaving takes from another gateway which servers have said in answers that they leave.
func (v *view) toldLeaving(ids []string) {
	for _, id := range ids {
		v.leaves(id, false)
	}
}

// leaves notes a server that has said in an answer that it leaves, and reports whether that was not known.
func (v *view) leaves(id string, news bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.Leaving(id) {
		return false
	}
	v.registry.MarkLeaving(id)
	clear(v.usable)
	v.leaving.add(id, news)
	return true
}
