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
	beat    = 250 * time.Millisecond
	silence = time.Second
)

type (
	entryEnd   = Link[wire.EntryFrame, wire.SidecarFrame]
	sidecarEnd = Link[wire.SidecarFrame, wire.EntryFrame]
)

// handler is what the far end does with a session.
type handler func(wire.DRPCSidecar_SessionStream) error

func (h handler) Session(s wire.DRPCSidecar_SessionStream) error { return h(s) }

// connect opens a session over a pipe within the bubble of a test. The pipe closes
// when either end does.
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
		HeartbeatInterval: beat, IdleHeartbeatInterval: 4 * beat, SilenceLimit: silence, QueueLimit: 2000,
		Active:        func() bool { return true },
		MakeHeartbeat: func(time.Duration) *wire.EntryFrame { return beatFrame() },
		Transport:     a,
	})
}

func beatFrame() *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Beat{Beat: &wire.EntryBeat{}}}
}

func cancelFrame(id string) *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Cancel{Cancel: &wire.Cancel{Ref: &wire.Ref{RequestId: id}}}}
}

// answering is a far end that beats and hands every frame to got.
func answering(got func(*wire.EntryFrame)) handler {
	return func(s wire.DRPCSidecar_SessionStream) error {
		var l *sidecarEnd = New(s, Options[wire.SidecarFrame]{
			HeartbeatInterval: beat, IdleHeartbeatInterval: 4 * beat, SilenceLimit: silence, QueueLimit: 2000,
			Active:        func() bool { return true },
			MakeHeartbeat: func(time.Duration) *wire.SidecarFrame { return &wire.SidecarFrame{} },
		})
		return l.Run(context.Background(), got)
	}
}

// Each test ends with every goroutine of its bubble ended; synctest sees to that.

func TestFramesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []string
		beats := 0
		l := connect(t, answering(func(f *wire.EntryFrame) {
			if f.GetBeat() != nil {
				beats++
				return
			}
			got = append(got, f.GetCancel().GetRef().GetRequestId())
		}))
		heard := 0
		ended := make(chan error, 1)
		go func() { ended <- l.Run(t.Context(), func(*wire.SidecarFrame) { heard++ }) }()
		var want []string
		for i := range 1000 {
			id := string(rune('a'+i%26)) + string(rune('a'+i/26))
			want = append(want, id)
			assert.NilError(t, l.Send(cancelFrame(id)))
		}
		time.Sleep(10*beat + beat/2)
		synctest.Wait()
		assert.DeepEqual(t, got, want)
		assert.Assert(t, beats >= 9 && beats <= 10, "%d beats", beats)
		assert.Assert(t, heard >= 9 && heard <= 10, "%d beats heard", heard)
		l.Close()
		assert.ErrorIs(t, <-ended, ErrClosed)
		assert.ErrorIs(t, l.Send(beatFrame()), ErrClosed)
	})
}

// deaf neither reads nor writes for a minute. Of a stream that isn't read drpc does
// not tell that its transport has closed.
func deaf(wire.DRPCSidecar_SessionStream) error {
	time.Sleep(time.Minute)
	return nil
}

func TestEnds(t *testing.T) {
	for _, tc := range []struct {
		name string
		far  handler
		do   func(l *entryEnd, cancel context.CancelFunc)
		want error
		// after is when the link has ended at the latest.
		after time.Duration
	}{
		{"silent peer", deaf, nil, ErrUnresponsive, silence + 2*beat},
		{"peer that only listens", func(s wire.DRPCSidecar_SessionStream) error {
			for {
				if _, err := s.Recv(); err != nil {
					return err
				}
			}
		}, nil, ErrUnresponsive, silence + 2*beat},
		{"closed here", answering(func(*wire.EntryFrame) {}), func(l *entryEnd, _ context.CancelFunc) { l.Close() }, ErrClosed, 0},
		{"context ended", answering(func(*wire.EntryFrame) {}), func(_ *entryEnd, cancel context.CancelFunc) { cancel() }, context.Canceled, 0},
		{"peer that reads nothing and many frames", deaf, func(l *entryEnd, _ context.CancelFunc) {
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

// announcing tells when a write begins.
type announcing struct {
	net.Conn
	writing chan struct{}
}

func (a *announcing) Write(p []byte) (int, error) {
	select {
	case a.writing <- struct{}{}:
	default:
	}
	return a.Conn.Write(p)
}

// A write that is stuck in the transport ends with the link.
func TestStuckWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe() // b is never read
		defer func() { _ = b.Close() }()
		w := &announcing{Conn: a, writing: make(chan struct{}, 1)}
		l := open(t, w)
		ended := make(chan error, 1)
		go func() { ended <- l.Run(t.Context(), func(*wire.SidecarFrame) {}) }()
		assert.NilError(t, l.Send(cancelFrame("a")))
		<-w.writing
		l.Close()
		assert.ErrorIs(t, <-ended, ErrClosed)
	})
}

// A frame that can't be encoded costs itself only.
func TestFrameThatCannotBeEncoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan string, 3)
		l := connect(t, answering(func(f *wire.EntryFrame) {
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
