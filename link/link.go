// Package link carries typed frames over one long-lived drpc stream between an
// entry and a sidecar. It batches writes, sends heartbeats, and takes a link for
// dead when nothing has been received for a while, since a connection can go
// silent without ever reporting an error.
package link

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
)

// Errors that end a link.
var (
	// ErrClosed means that the link was closed by this side.
	ErrClosed = merry.Sentinel("link closed")
	// ErrUnresponsive means that nothing was received within the silence limit.
	ErrUnresponsive = merry.Sentinel("link silent")
	// ErrOverflow means that the peer does not take frames as fast as they come.
	ErrOverflow = merry.Sentinel("link queue full")
)

// Stream is a drpc stream that sends Out and receives In. The generated client
// and server streams satisfy it.
type Stream[Out, In any] interface {
	drpc.Stream
	Send(*Out) error
	Recv() (*In, error)
}

// Options tune a link.
type Options[Out any] struct {
	// HeartbeatInterval is the interval of heartbeats while Active; frames of any kind stand in
	// for them. IdleHeartbeatInterval is the interval otherwise.
	HeartbeatInterval, IdleHeartbeatInterval time.Duration
	// SilenceLimit is how long an active peer may be silent before the link is taken
	// for dead; an idle peer has as many times its own interval.
	SilenceLimit time.Duration
	// Active reports whether this end has work on the link.
	Active func() bool
	// QueueLimit bounds the frames waiting to be written.
	QueueLimit int
	// MakeHeartbeat builds the next heartbeat, which promises the next frame within interval.
	MakeHeartbeat func(interval time.Duration) *Out
	// OnDropped, unless nil, is told of each frame that could not be encoded.
	OnDropped func(error)
	// Transport is closed when the link ends, which unblocks a stuck write.
	Transport io.Closer
}

// flusher is implemented by drpc's streams.
type flusher interface {
	SetManualFlush(bool)
	RawFlush() error
}

// Link is one end of a session. All methods are safe for concurrent use.
type Link[Out, In any] struct {
	stream  Stream[Out, In]
	opts    Options[Out]
	flush   func() error
	mu      sync.Mutex
	queue   []*Out
	wake    chan struct{}
	done    chan struct{}
	endOnce sync.Once
	err     error
	heard   atomic.Int64
	sent    atomic.Uint64
	// peerInterval is what the peer has promised, in nanoseconds.
	peerInterval atomic.Int64
	pace         pace
	// slow is true while the next look at the link is far off; hurry brings it near.
	slow  bool
	hurry chan struct{}
}

// New wraps a stream. Run must be called once.
func New[Out, In any](s Stream[Out, In], opts Options[Out]) *Link[Out, In] {
	l := &Link[Out, In]{
		stream: s,
		opts:   opts,
		flush:  func() error { return nil },
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
		hurry:  make(chan struct{}, 1),
	}
	l.heard.Store(time.Now().UnixNano())
	l.peerInterval.Store(int64(opts.HeartbeatInterval))
	l.pace = pace{active: true, lastSent: time.Now()}
	return l
}

// Send queues a frame and does not block. The frame belongs to the link from then on.
func (l *Link[Out, In]) Send(f *Out) error { return l.queueFrame(f, true) }

// queueFrame queues a frame; standsIn says that it may take the place of the next heartbeat.
func (l *Link[Out, In]) queueFrame(f *Out, standsIn bool) error {
	if l.isDone() {
		return l.err
	}
	if !l.enqueue(f, standsIn) {
		l.end(ErrOverflow)
		return ErrOverflow
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

func (l *Link[Out, In]) enqueue(f *Out, standsIn bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= l.opts.QueueLimit {
		return false
	}
	l.queue = append(l.queue, f)
	l.pace.sent = l.pace.sent || standsIn
	if standsIn {
		l.hasten()
	}
	return true
}

// Done is closed when the link has ended.
func (l *Link[Out, In]) Done() <-chan struct{} { return l.done }

// Sent returns the number of frames written.
func (l *Link[Out, In]) Sent() uint64 { return l.sent.Load() }

// Close ends the link.
func (l *Link[Out, In]) Close() { l.end(ErrClosed) }

// Run moves frames until the link ends, and returns why. onFrame is called for
// each received frame in order, on one goroutine; it must not block.
func (l *Link[Out, In]) Run(ctx context.Context, onFrame func(*In)) error {
	l.setUpFlush() // before the first Recv, which reads what this sets
	var wg sync.WaitGroup
	wg.Go(l.write)
	wg.Go(func() { l.watch(ctx) })
	l.read(onFrame)
	wg.Wait()
	return l.err
}

func (l *Link[Out, In]) read(onFrame func(*In)) {
	for {
		f, err := l.stream.Recv()
		if err != nil {
			l.end(merry.Prepend(err, "receive"))
			return
		}
		l.heard.Store(time.Now().UnixNano())
		onFrame(f)
	}
}

func (l *Link[Out, In]) write() {
	for {
		select {
		case <-l.done:
			return
		case <-l.wake:
		}
		if err := l.writeQueued(); err != nil {
			l.sendFailed(err)
			return
		}
	}
}

// readGrace is how long the reader may take to learn why the peer hung up.
const readGrace = 200 * time.Millisecond

// sendFailed ends the link. What the peer said last, such as a refusal, is on its
// way to the reader and says more than the failed send, so the reader goes first.
func (l *Link[Out, In]) sendFailed(err error) {
	t := time.NewTimer(readGrace)
	defer t.Stop()
	select {
	case <-l.done:
	case <-t.C:
		l.end(merry.Prepend(err, "send"))
	}
}

func (l *Link[Out, In]) setUpFlush() {
	s, ok := l.stream.(interface{ GetStream() drpc.Stream })
	if !ok {
		return
	}
	if f, ok := s.GetStream().(flusher); ok {
		f.SetManualFlush(true)
		l.flush = f.RawFlush
	}
}

func (l *Link[Out, In]) writeQueued() error {
	l.mu.Lock()
	batch := l.queue
	l.queue = nil
	l.mu.Unlock()
	for _, f := range batch {
		err := l.stream.Send(f)
		if err != nil && l.dropped(f) {
			continue
		}
		if err != nil {
			return err
		}
		l.sent.Add(1)
	}
	return l.flush()
}

// dropped reports whether f itself is at fault, such as for text that is not UTF-8.
// Nothing of it was sent then, and the frames of all other requests go on.
func (l *Link[Out, In]) dropped(f *Out) bool {
	m, ok := any(f).(proto.Message)
	if !ok {
		return false
	}
	_, err := proto.Marshal(m)
	if err != nil && l.opts.OnDropped != nil {
		l.opts.OnDropped(err)
	}
	return err != nil
}

// watch sends heartbeats and ends the link on silence or when ctx ends.
func (l *Link[Out, In]) watch(ctx context.Context) {
	t := time.NewTimer(l.opts.HeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			l.end(ctx.Err())
			return
		case <-l.done:
			return
		case <-l.hurry:
			t.Reset(l.opts.HeartbeatInterval)
		case now := <-t.C:
			if now.UnixNano()-l.heard.Load() > int64(l.silence()) {
				l.end(ErrUnresponsive)
				return
			}
			l.beat(now)
			t.Reset(l.nextTick())
		}
	}
}

// nextTick is the time until the link is looked at again: long while neither end
// has work, since an entry has hundreds of such links.
func (l *Link[Out, In]) nextTick() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = !l.pace.active && time.Duration(l.peerInterval.Load()) >= l.opts.IdleHeartbeatInterval
	if l.slow {
		return l.slowTick()
	}
	return l.opts.HeartbeatInterval
}

func (l *Link[Out, In]) slowTick() time.Duration {
	return max(l.opts.HeartbeatInterval, l.opts.IdleHeartbeatInterval/slowTicks)
}

// hasten ends a long time between two looks at the link. The caller holds mu.
func (l *Link[Out, In]) hasten() {
	if !l.slow {
		return
	}
	l.slow = false
	select {
	case l.hurry <- struct{}{}:
	default:
	}
}

// silence scales the limit with what the peer has promised.
func (l *Link[Out, In]) silence() time.Duration {
	promised := time.Duration(l.peerInterval.Load())
	return time.Duration(float64(l.opts.SilenceLimit) * float64(promised) / float64(l.opts.HeartbeatInterval))
}

// ReceiveHeartbeat takes the interval that the peer promises in its heartbeat.
func (l *Link[Out, In]) ReceiveHeartbeat(interval time.Duration) {
	if interval <= 0 {
		return
	}
	l.peerInterval.Store(int64(interval))
	if interval < l.opts.IdleHeartbeatInterval {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.hasten()
	}
}

// beat sends a heartbeat when one is due.
func (l *Link[Out, In]) beat(now time.Time) {
	active := l.opts.Active()
	l.mu.Lock()
	tick := l.opts.HeartbeatInterval
	if l.slow {
		tick = l.slowTick()
	}
	due := l.pace.due(now, active, tick, l.opts.HeartbeatInterval, l.opts.IdleHeartbeatInterval)
	interval := l.pace.interval(l.opts.HeartbeatInterval, l.opts.IdleHeartbeatInterval)
	l.mu.Unlock()
	if due {
		_ = l.queueFrame(l.opts.MakeHeartbeat(interval), false)
	}
}

// SendHeartbeat sends a heartbeat at once, at the present pace.
func (l *Link[Out, In]) SendHeartbeat() {
	_ = l.Send(l.opts.MakeHeartbeat(l.HeartbeatInterval()))
}

// HeartbeatInterval is what this end promises at the present pace.
func (l *Link[Out, In]) HeartbeatInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pace.interval(l.opts.HeartbeatInterval, l.opts.IdleHeartbeatInterval)
}

// Activate promises the active interval at once. Call it before the first frame
// of new work on a link that may be idle.
func (l *Link[Out, In]) Activate() {
	l.mu.Lock()
	was := l.pace.active
	l.pace.active = true
	l.pace.idleTicks = 0
	l.mu.Unlock()
	if !was {
		_ = l.Send(l.opts.MakeHeartbeat(l.opts.HeartbeatInterval))
	}
}

func (l *Link[Out, In]) isDone() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *Link[Out, In]) end(err error) {
	l.endOnce.Do(func() {
		l.err = err
		close(l.done)
		if l.opts.Transport != nil {
			_ = l.opts.Transport.Close()
		}
	})
}
