package fairshare

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
)

// flow is the queueing state of one customer.
type flow[K comparable] struct {
	name   string
	weight float64
	// startTag is the virtual time at which the service of the next item starts.
	startTag float64
	// sortKey orders flows: startTag less the lead of the first item.
	sortKey         float64
	overEntitlement bool
	// idle is true while the flow is in Queue.idle; flows with waiting items are in Queue.backlogged.
	idle bool
	// inService is the number of items in service.
	inService  int
	items      indexedHeap[*entry[K]]
	queuedWork [urgencies]time.Duration
	pos        int
}

func (f *flow[K]) setPos(i int) { f.pos = i }

func flowLess[K comparable](a, b *flow[K]) bool {
	if a.overEntitlement != b.overEntitlement {
		return b.overEntitlement
	}
	if a.sortKey != b.sortKey {
		return a.sortKey < b.sortKey
	}
	return a.items.nodes[0].seq < b.items.nodes[0].seq
}

func startLess[K comparable](a, b *flow[K]) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.name < b.name
}

// entry is one waiting item.
type entry[K comparable] struct {
	item Item[K]
	seq  uint64
	// serveBy orders the items of one customer: arrival time plus MaxDeferral of the urgency.
	serveBy  time.Time
	pos      int
	deadline deadlineNode[K]
}

func (e *entry[K]) setPos(i int) { e.pos = i }

func entryLess[K comparable](a, b *entry[K]) bool {
	if !a.serveBy.Equal(b.serveBy) {
		return a.serveBy.Before(b.serveBy)
	}
	return a.seq < b.seq
}

// deadlineNode is the node of an entry in Queue.deadlines.
type deadlineNode[K comparable] struct {
	entry *entry[K]
	pos   int
}

func (d *deadlineNode[K]) setPos(i int) { d.pos = i }

func deadlineLess[K comparable](a, b *deadlineNode[K]) bool {
	x, y := a.entry, b.entry
	if !x.item.Deadline.Equal(y.item.Deadline) {
		return x.item.Deadline.Before(y.item.Deadline)
	}
	return x.seq < y.seq
}

func clampUrgency(u contract.Urgency) contract.Urgency {
	return min(max(u, contract.Interactive), contract.Deferred)
}

const million = 1_000_000

// millionths converts a weight to an integer, so that sums are exact.
func millionths(weight float64) int64 {
	return int64(weight * million)
}
