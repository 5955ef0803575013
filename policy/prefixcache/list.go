package prefixcache

import "time"

// noSlot marks the end of a list.
const noSlot int32 = -1

// entry is one prefix held by one backend server.
type entry struct {
	key            key
	backend        *backend
	recorded       time.Time
	negLogSurvival float64
	tokens         int32
	confidence     float32
}

type node struct {
	entry
	prev, next int32
}

// lruList holds up to size nodes in order of use. Unused nodes form a free list linked by next.
type lruList struct {
	size                    int
	nodes                   []node
	mostRecent, leastRecent int32
	free                    int32
}

func newLRUList(size int) lruList {
	return lruList{size: size, mostRecent: noSlot, leastRecent: noSlot, free: noSlot}
}

// acquire returns a node as the most recently used one. When none is free, it reuses the least
// recently used node, which still holds its old entry, and reused is true.
func (l *lruList) acquire() (slot int32, reused bool) {
	if l.free != noSlot {
		slot = l.free
		l.free = l.nodes[slot].next
		l.pushFront(slot)
		return slot, false
	}
	if len(l.nodes) < l.size {
		slot = int32(len(l.nodes))
		l.nodes = append(l.nodes, node{})
		l.pushFront(slot)
		return slot, false
	}
	slot = l.leastRecent
	l.touch(slot)
	return slot, true
}

// touch makes a node the most recently used one.
func (l *lruList) touch(slot int32) {
	if l.mostRecent == slot {
		return
	}
	l.unlink(slot)
	l.pushFront(slot)
}

// release clears a node and adds it to the free list.
func (l *lruList) release(slot int32) {
	l.unlink(slot)
	l.nodes[slot] = node{next: l.free}
	l.free = slot
}

func (l *lruList) pushFront(slot int32) {
	n := &l.nodes[slot]
	n.prev, n.next = noSlot, l.mostRecent
	if l.mostRecent != noSlot {
		l.nodes[l.mostRecent].prev = slot
	}
	l.mostRecent = slot
	if l.leastRecent == noSlot {
		l.leastRecent = slot
	}
}

func (l *lruList) unlink(slot int32) {
	n := &l.nodes[slot]
	if n.prev != noSlot {
		l.nodes[n.prev].next = n.next
	} else {
		l.mostRecent = n.next
	}
	if n.next != noSlot {
		l.nodes[n.next].prev = n.prev
	} else {
		l.leastRecent = n.prev
	}
}
