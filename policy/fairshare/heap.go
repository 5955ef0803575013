package fairshare

// heapNode is an element of an indexedHeap. The heap sets its position, so that it can be moved or
// removed in O(log n).
type heapNode interface {
	comparable
	setPos(int)
}

// indexedHeap is a binary min-heap ordered by less; the minimum is at position 0.
type indexedHeap[T heapNode] struct {
	nodes []T
	less  func(a, b T) bool
}

func (h *indexedHeap[T]) push(t T) {
	h.nodes = append(h.nodes, t)
	h.set(len(h.nodes)-1, t)
	h.up(len(h.nodes) - 1)
}

// remove deletes the element at position i.
func (h *indexedHeap[T]) remove(i int) {
	last := len(h.nodes) - 1
	h.nodes[i].setPos(-1)
	moved := h.nodes[last]
	var none T
	h.nodes[last] = none
	h.nodes = h.nodes[:last]
	if i == last {
		return
	}
	h.set(i, moved)
	h.fix(i)
}

// fix restores the heap order after the element at position i changed.
func (h *indexedHeap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[T]) set(i int, t T) {
	h.nodes[i] = t
	t.setPos(i)
}

func (h *indexedHeap[T]) swap(i, j int) {
	a, b := h.nodes[i], h.nodes[j]
	h.set(i, b)
	h.set(j, a)
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.nodes[i], h.nodes[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) bool {
	start := i
	for {
		child := h.minChild(i)
		if child < 0 || !h.less(h.nodes[child], h.nodes[i]) {
			return i > start
		}
		h.swap(i, child)
		i = child
	}
}

func (h *indexedHeap[T]) minChild(i int) int {
	left, right := 2*i+1, 2*i+2
	if left >= len(h.nodes) {
		return -1
	}
	if right < len(h.nodes) && h.less(h.nodes[right], h.nodes[left]) {
		return right
	}
	return left
}
