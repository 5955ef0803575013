package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// errLinkDown means that the link to the sidecar broke while a frame was awaited.
var errLinkDown = merry.Sentinel("link to sidecar down")

// flow queues the frames that one attempt receives from one sidecar. Frames arrive in order; a broken link is
// reported as errLinkDown after the frames received before it.
type flow struct {
	peer *peer
	key  wire.Key

	mu    sync.Mutex
	queue []flowItem
	wake  chan struct{}
}

type flowItem struct {
	frame    *wire.SidecarFrame
	linkDown bool
}

func (f *flow) push(it flowItem) {
	f.mu.Lock()
	f.queue = append(f.queue, it)
	f.mu.Unlock()
	notify.Send(f.wake)
}

func (f *flow) pop() (flowItem, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.queue) == 0 {
		return flowItem{}, false
	}
	it := f.queue[0]
	f.queue = f.queue[1:]
	return it, true
}

// recv blocks for the next frame.
func (f *flow) recv(ctx context.Context) (*wire.SidecarFrame, error) {
	for {
		if it, ok := f.pop(); ok {
			if it.linkDown {
				return nil, errLinkDown
			}
			return it.frame, nil
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-f.wake:
		}
	}
}

// discardLinkDown drops the reports of links that broke before now. Frames stay.
func (f *flow) discardLinkDown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue = slices.DeleteFunc(f.queue, func(it flowItem) bool { return it.linkDown })
}

// send queues a frame on the current link of the peer.
func (f *flow) send(frame *wire.EntryFrame) error { return f.peer.send(frame) }

// close ends the flow; frames that still arrive are dropped.
func (f *flow) close() { f.peer.closeFlow(f.key) }
