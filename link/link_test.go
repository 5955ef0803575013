package link

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/hibiscusspur/hibiscusspur/wire"
)

const (
	heartbeatInterval = 250 * time.Millisecond
	silenceLimit      = time.Second
)

type (
	entryEnd   = Link[wire.EntryFrame, wire.SidecarFrame]
	sidecarEnd = Link[wire.SidecarFrame, wire.EntryFrame]
)

// handler is the far end's implementation of a session.
type handler func(wire.DRPCSidecar_SessionStream) error

func (h handler) Session(s wire.DRPCSidecar_SessionStream) error { return h(s) }

// connect opens a session over a pipe within the synctest bubble. Either end closes the pipe for both.
func connect(t *testing.T, far handler) (near *entryEnd) {
	t.Helper()
	a, b := net.Pipe()
	mux := drpcmux.New()
	assert.NilError(t, wire.DRPCRegisterSidecar(mux, far))
	go func() { _ = drpcserver.NewWithOptions(mux, serverOptions()).ServeOne(context.Background(), b) }()
	return open(t, a)
}

func open(t *testing.T, a net.Conn) *entryEnd {
	t.Helper()
	conn := drpcconn.NewWithOptions(a, drpcconn.Options{Manager: managerOptions()})
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := wire.NewDRPCSidecarClient(conn).Session(t.Context())
	assert.NilError(t, err)
	return New(stream, Options[wire.EntryFrame]{
		HeartbeatInterval: heartbeatInterval, IdleHeartbeatInterval: 4 * heartbeatInterval, SilenceLimit: silenceLimit, QueueLimit: 2000,
		Active:        func() bool { return true },
		MakeHeartbeat: func(time.Duration) *wire.EntryFrame { return heartbeatFrame() },
		Transport:     a,
	})
}

func heartbeatFrame() *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Beat{Beat: &wire.EntryBeat{}}}
}

func cancelFrame(id string) *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Cancel{Cancel: &wire.Cancel{Ref: &wire.Ref{RequestId: id}}}}
}

// heartbeating is a far end that sends heartbeats and passes every frame to got.
func heartbeating(got func(*wire.EntryFrame)) handler {
	return func(s wire.DRPCSidecar_SessionStream) error {
		var l *sidecarEnd = New(s, Options[wire.SidecarFrame]{
			HeartbeatInterval: heartbeatInterval, IdleHeartbeatInterval: 4 * heartbeatInterval, SilenceLimit: silenceLimit, QueueLimit: 2000,
			Active:        func() bool { return true },
			MakeHeartbeat: func(time.Duration) *wire.SidecarFrame { return &wire.SidecarFrame{} },
		})
		return l.Run(context.Background(), got)
	}
}

// synctest fails a test that leaves goroutines of its bubble running.

func TestFramesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []string
		sent := 0
		l := connect(t, heartbeating(func(f *wire.EntryFrame) {
			if f.GetBeat() != nil {
				sent++
				return
			}
			got = append(got, f.GetCancel().GetRef().GetRequestId())
		}))
		received := 0
		ended := make(chan error, 1)
		go func() { ended <- l.Run(t.Context(), func(*wire.SidecarFrame) { received++ }) }()
		var want []string
		for i := range 1000 {
			id := string(rune('a'+i%26)) + string(rune('a'+i/26))
			want = append(want, id)
			assert.NilError(t, l.Send(cancelFrame(id)))
		}
		time.Sleep(10*heartbeatInterval + heartbeatInterval/2)
		synctest.Wait()
		assert.DeepEqual(t, got, want)
		assert.Assert(t, sent >= 9 && sent <= 10, "%d heartbeats", sent)
		assert.Assert(t, received >= 9 && received <= 10, "%d heartbeats received", received)
		l.Close()
		assert.ErrorIs(t, <-ended, ErrClosed)
		assert.ErrorIs(t, l.Send(heartbeatFrame()), ErrClosed)
	})
}

// unresponsive neither reads nor writes for a minute. drpc does not report that the transport has closed on a
// stream that isn't read.
func unresponsive(wire.DRPCSidecar_SessionStream) error {
	time.Sleep(time.Minute)
	return nil
}

func TestRunErrors(t *testing.T) {
	for _, tc := range []struct {
		name string
		far  handler
		do   func(l *entryEnd, cancel context.CancelFunc)
		want error
		// after is the latest time at which the link has ended.
		after time.Duration
	}{
		{"peer that neither reads nor writes", unresponsive, nil, ErrUnresponsive, silenceLimit + 2*heartbeatInterval},
		{"peer that only reads", func(s wire.DRPCSidecar_SessionStream) error {
			for {
				if _, err := s.Recv(); err != nil {
					return err
				}
			}
		}, nil, ErrUnresponsive, silenceLimit + 2*heartbeatInterval},
		{"closed here", heartbeating(func(*wire.EntryFrame) {}), func(l *entryEnd, _ context.CancelFunc) { l.Close() }, ErrClosed, 0},
		{"context ended", heartbeating(func(*wire.EntryFrame) {}), func(_ *entryEnd, cancel context.CancelFunc) { cancel() }, context.Canceled, 0},
		{"send queue overflow", unresponsive, func(l *entryEnd, _ context.CancelFunc) {
			for l.Send(cancelFrame("a")) == nil {
			}
		}, ErrOverflow, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := connect(t, tc.far)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				begun := time.Now()
				ended := make(chan error, 1)
				go func() { ended <- l.Run(ctx, func(*wire.SidecarFrame) {}) }()
				synctest.Wait()
				if tc.do != nil {
					tc.do(l, cancel)
				}
				err := <-ended
				assert.Assert(t, errors.Is(err, tc.want), "%v", err)
				assert.Assert(t, time.Since(begun) <= tc.after, "after %v", time.Since(begun))
				<-l.Done()
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// notifyingConn signals when a write begins.
type notifyingConn struct {
	net.Conn
	writing chan struct{}
}

func (c *notifyingConn) Write(p []byte) (int, error) {
	select {
	case c.writing <- struct{}{}:
	default:
	}
	return c.Conn.Write(p)
}

// A write blocked in the transport returns when the link is closed.
func TestStuckWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe() // b is never read
		defer func() { _ = b.Close() }()
		w := &notifyingConn{Conn: a, writing: make(chan struct{}, 1)}
		l := open(t, w)
		ended := make(chan error, 1)
		go func() { ended <- l.Run(t.Context(), func(*wire.SidecarFrame) {}) }()
		assert.NilError(t, l.Send(cancelFrame("a")))
		<-w.writing
		l.Close()
		assert.ErrorIs(t, <-ended, ErrClosed)
	})
}

// A frame that can't be encoded is dropped alone; the link continues.
func TestFrameThatCannotBeEncoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan string, 3)
		l := connect(t, heartbeating(func(f *wire.EntryFrame) {
			if c := f.GetCancel(); c != nil {
				got <- c.GetRef().GetRequestId()
			}
		}))
		ended := make(chan error, 1)
		go func() { ended <- l.Run(t.Context(), func(*wire.SidecarFrame) {}) }()
		for _, id := range []string{"before", "\xff", "after"} {
			assert.NilError(t, l.Send(cancelFrame(id)))
		}
		assert.Equal(t, <-got, "before")
		select {
		case id := <-got:
			assert.Equal(t, id, "after")
		case err := <-ended:
			t.Fatalf("link ended: %v", err)
		}
		l.Close()
		<-ended
	})
}
