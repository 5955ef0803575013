// Package link carries typed frames over one long-lived drpc stream between an entry and a sidecar. It batches
// writes, sends heartbeats, and declares a link dead when nothing has been received for a while, since a
// connection can become unresponsive without ever reporting an error.
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

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
)

// Errors that end a link.
var (
	// ErrClosed means that the link was closed by this side.
	ErrClosed = merry.Sentinel("link closed")
	// ErrUnresponsive means that nothing was received within the silence limit.
	ErrUnresponsive = merry.Sentinel("link unresponsive")
	// ErrOverflow means that the peer accepts frames more slowly than they are queued.
	ErrOverflow = merry.Sentinel("link send queue full")
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
	// HeartbeatInterval is the interval of heartbeats while Active; a frame of any kind replaces a heartbeat.
	// IdleHeartbeatInterval is the interval otherwise.
	HeartbeatInterval, IdleHeartbeatInterval time.Duration
	// SilenceLimit is the time without a frame after which the link to an active peer is declared dead; for an
	// idle peer it grows in proportion to the peer's interval.
	SilenceLimit time.Duration
	// Active reports whether this end has work on the link.
	Active func() bool
	// QueueLimit bounds the number of frames queued for writing.
	QueueLimit int
	// MakeHeartbeat builds the next heartbeat, which announces that the next frame follows within interval.
	MakeHeartbeat func(interval time.Duration) *Out
	// OnDropped, unless nil, is called for each frame that could not be encoded.
	OnDropped func(error)
	// Transport is closed when the link ends, which unblocks a pending write.
	Transport io.Closer
}

// flusher is implemented by drpc's streams.
type flusher interface {
	SetManualFlush(bool)
	RawFlush() error
}

// Link is one end of a session. All methods are safe for concurrent use.
type Link[Out, In any] struct {
	stream       Stream[Out, In]
	opts         Options[Out]
	flush        func() error
	mu           sync.Mutex
	queue        []*Out
	wake         chan struct{}
	done         chan struct{}
	endOnce      sync.Once
	err          error
	lastReceived atomic.Int64
	sent         atomic.Uint64
	// peerInterval is the heartbeat interval that the peer announced, in nanoseconds.
	peerInterval atomic.Int64
	schedule     heartbeatSchedule
	// slowTicks is true while the interval between ticks is that of an idle link; shortenTick wakes monitor to
	// use the short one.
	slowTicks   bool
	shortenTick chan struct{}
}

// New wraps a stream. Run must be called once.
func New[Out, In any](s Stream[Out, In], opts Options[Out]) *Link[Out, In] {
	l := &Link[Out, In]{
		stream:      s,
		opts:        opts,
		flush:       func() error { return nil },
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		shortenTick: make(chan struct{}, 1),
	}
	l.lastReceived.Store(time.Now().UnixNano())
	l.peerInterval.Store(int64(opts.HeartbeatInterval))
	l.schedule = heartbeatSchedule{active: true, lastSent: time.Now()}
	return l
}

// Send queues a frame and does not block. The frame belongs to the link from then on.
func (l *Link[Out, In]) Send(f *Out) error { return l.queueFrame(f, true) }

// queueFrame queues a frame; replacesHeartbeat is set if the frame replaces the next heartbeat.
func (l *Link[Out, In]) queueFrame(f *Out, replacesHeartbeat bool) error {
	if l.isDone() {
		return l.err
	}
	if !l.enqueue(f, replacesHeartbeat) {
		l.end(ErrOverflow)
		return ErrOverflow
	}
	notify.Send(l.wake)
	return nil
}

func (l *Link[Out, In]) enqueue(f *Out, replacesHeartbeat bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= l.opts.QueueLimit {
		return false
	}
	l.queue = append(l.queue, f)
	l.schedule.sent = l.schedule.sent || replacesHeartbeat
	if replacesHeartbeat {
		l.endSlowTicks()
	}
	return true
}

// Done is closed when the link has ended.
func (l *Link[Out, In]) Done() <-chan struct{} { return l.done }

// Sent returns the number of frames written.
func (l *Link[Out, In]) Sent() uint64 { return l.sent.Load() }

// Close ends the link.
func (l *Link[Out, In]) Close() { l.end(ErrClosed) }

// Run sends and receives frames until the link ends, and returns the reason. onFrame is called for each
// received frame in order, on one goroutine; it must not block.
func (l *Link[Out, In]) Run(ctx context.Context, onFrame func(*In)) error {
	l.setUpFlush() // must precede the first Recv, which reads the flush mode
	var wg sync.WaitGroup
	wg.Go(l.write)
	wg.Go(func() { l.monitor(ctx) })
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
		l.lastReceived.Store(time.Now().UnixNano())
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

// readGrace is how long to wait, after a failed send, for the reader to receive the reason why the peer hung
// up.
const readGrace = 200 * time.Millisecond

// sendFailed ends the link. The peer's last frame, such as a refusal, may still be on its way to the reader
// and explains more than the failed send, so the reader's error takes precedence.
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

// dropped reports whether f itself is invalid, such as for text that is not UTF-8. Nothing of it was sent in
// that case, and the link continues with the frames of all other requests.
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

// monitor sends heartbeats and ends the link when the peer is unresponsive or ctx ends.
func (l *Link[Out, In]) monitor(ctx context.Context) {
	t := time.NewTimer(l.opts.HeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			l.end(ctx.Err())
			return
		case <-l.done:
			return
		case <-l.shortenTick:
			t.Reset(l.opts.HeartbeatInterval)
		case now := <-t.C:
			if now.UnixNano()-l.lastReceived.Load() > int64(l.silenceLimit()) {
				l.end(ErrUnresponsive)
				return
			}
			l.sendDueHeartbeat(now)
			t.Reset(l.nextTick())
		}
	}
}

// nextTick is the time until the next tick. It is long while neither end has work, since an entry has hundreds
// of such links.
func (l *Link[Out, In]) nextTick() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowTicks = !l.schedule.active && time.Duration(l.peerInterval.Load()) >= l.opts.IdleHeartbeatInterval
	if l.slowTicks {
		return l.idleTick()
	}
	return l.opts.HeartbeatInterval
}

func (l *Link[Out, In]) idleTick() time.Duration {
	return max(l.opts.HeartbeatInterval, l.opts.IdleHeartbeatInterval/ticksPerIdleInterval)
}

// endSlowTicks makes the next tick come after the short interval. The caller holds mu.
func (l *Link[Out, In]) endSlowTicks() {
	if !l.slowTicks {
		return
	}
	l.slowTicks = false
	notify.Send(l.shortenTick)
}

// silenceLimit is the silence limit, scaled to the interval that the peer announced.
func (l *Link[Out, In]) silenceLimit() time.Duration {
	announced := time.Duration(l.peerInterval.Load())
	return time.Duration(float64(l.opts.SilenceLimit) * float64(announced) / float64(l.opts.HeartbeatInterval))
}

// ReceiveHeartbeat records the interval that the peer announced in a heartbeat.
func (l *Link[Out, In]) ReceiveHeartbeat(interval time.Duration) {
	if interval <= 0 {
		return
	}
	l.peerInterval.Store(int64(interval))
	if interval < l.opts.IdleHeartbeatInterval {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.endSlowTicks()
	}
}

// sendDueHeartbeat sends a heartbeat if one is due.
func (l *Link[Out, In]) sendDueHeartbeat(now time.Time) {
	active := l.opts.Active()
	l.mu.Lock()
	tick := l.opts.HeartbeatInterval
	if l.slowTicks {
		tick = l.idleTick()
	}
	due := l.schedule.due(now, active, tick, l.opts.HeartbeatInterval, l.opts.IdleHeartbeatInterval)
	interval := l.schedule.interval(l.opts.HeartbeatInterval, l.opts.IdleHeartbeatInterval)
	l.mu.Unlock()
	if due {
		_ = l.queueFrame(l.opts.MakeHeartbeat(interval), false)
	}
}

// SendHeartbeat sends a heartbeat at once that announces the current interval.
func (l *Link[Out, In]) SendHeartbeat() {
	_ = l.Send(l.opts.MakeHeartbeat(l.HeartbeatInterval()))
}

// HeartbeatInterval is the interval that this end announces at present.
func (l *Link[Out, In]) HeartbeatInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.schedule.interval(l.opts.HeartbeatInterval, l.opts.IdleHeartbeatInterval)
}

// Activate announces the active interval at once. Call it before the first frame of new work on a link that
// may be idle.
func (l *Link[Out, In]) Activate() {
	l.mu.Lock()
	wasActive := l.schedule.active
	l.schedule.active = true
	l.schedule.idleTicks = 0
	l.mu.Unlock()
	if !wasActive {
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
