package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// leavingReportTTL is for how long reports include a server that has announced in a response that it is leaving: by
// then its entry in the store says so, or has lapsed.
const leavingReportTTL = 30 * time.Second

// leavingServers are the servers that have announced in responses that they are leaving, as reported to other
// gateways. It is safe for concurrent use.
type leavingServers struct {
	mu sync.Mutex
	// knownSince is when each server became known to be leaving; updates are those that still have to be sent to
	// the other gateways in a datagram.
	knownSince map[string]time.Time
	updates    []string
	// listed are those that leave by a list read from the store here and that still have to be sent in a datagram;
	// changed holds a token while there are any.
	listed  []string
	changed chan struct{}
}

func newLeavingServers() *leavingServers {
	return &leavingServers{knownSince: map[string]time.Time{}, changed: make(chan struct{}, 1)}
}

// add records a server that was not known to be leaving. One that announced it to this process (local) is an update
// for the other gateways.
func (l *leavingServers) add(id string, local bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.knownSince[id] = time.Now()
	if local {
		l.updates = append(l.updates, id)
	}
}

// takeUpdates returns and clears the servers to report to other gateways at once.
func (l *leavingServers) takeUpdates() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.updates
	l.updates = nil
	return out
}

// maxListedUpdates bounds the listed servers in a datagram.
const maxListedUpdates = 100

// addListed records servers that leave by a list that this process read from the store. The other gateways are told at once,
// besides what they learn from exchanges: among hundreds of gateways, one that an exchange misses waits for seconds.
func (l *leavingServers) addListed(ids []string) {
	if len(ids) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = append(l.listed, ids...)
	notify.Send(l.changed)
}

// takeListed returns listed servers to report in one datagram, and removes them.
func (l *leavingServers) takeListed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.listed), maxListedUpdates)
	out := slices.Clone(l.listed[:n])
	if l.listed = l.listed[n:]; len(l.listed) > 0 {
		notify.Send(l.changed)
	}
	return out
}

// all returns the servers to include in a report.
func (l *leavingServers) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.knownSince, func(_ string, at time.Time) bool { return time.Since(at) >= leavingReportTTL })
	return slices.Sorted(maps.Keys(l.knownSince))
}

// MarkLeaving implements forward.View.
func (v *view) MarkLeaving(s registry.Server) bool { return v.recordLeaving(s.ID, true) }

// receiveLeaving takes the leaving servers that another gateway reports.
func (v *view) receiveLeaving(ids []string) {
	for _, id := range ids {
		v.recordLeaving(id, false)
	}
}

// receiveListedLeaving takes the servers that leave by a list that another gateway has read from the store.
func (v *view) receiveListedLeaving(ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range ids {
		if !v.registry.Leaving(id) {
			v.registry.MarkLeaving(id, time.Now())
			v.listDigest = 0
			clear(v.usable)
		}
	}
}

// recordLeaving marks a server that has announced in a response that it is leaving, and reports whether that was not
// known.
func (v *view) recordLeaving(id string, local bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.Leaving(id) {
		return false
	}
	v.registry.MarkLeaving(id, time.Now())
	clear(v.usable)
	v.leaving.add(id, local)
	return true
}
