package link

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/wire"
)

// TestIdleLinkIsWatchedCloselyForWork: a link that has been idle is looked at
// seldom, yet the silence of a peer that has promised more shows in time.
func TestIdleLinkIsWatchedCloselyForWork(t *testing.T) {
	const (
		idle     = 256 * beat
		promised = 301 * time.Second // neither at a heartbeat nor at a look
	)
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		looks := 0
		near := connect(t, func(s wire.DRPCSidecar_SessionStream) error {
			ended := make(chan error, 1)
			go func() { ended <- drainFrames(s) }()
			for time.Since(start) < promised {
				if err := s.Send(sidecarBeat(idle)); err != nil {
					return err
				}
				time.Sleep(min(idle, promised-time.Since(start)))
			}
			if err := s.Send(sidecarBeat(beat)); err != nil {
				return err
			}
			return <-ended
		})
		near.opts.IdleHeartbeatInterval = idle
		near.opts.Active = func() bool { looks++; return false }
		err := near.Run(t.Context(), func(f *wire.SidecarFrame) {
			near.ReceiveHeartbeat(time.Duration(f.GetBeat().GetIntervalMs()) * time.Millisecond)
		})
		assert.ErrorIs(t, err, ErrUnresponsive)
		assert.Assert(t, time.Since(start) <= promised+silence+2*beat, "after %s", time.Since(start))
		assert.Assert(t, looks < 80, "%d looks", looks)
	})
}

// drainFrames reads until the session ends.
func drainFrames(s wire.DRPCSidecar_SessionStream) error {
	for {
		if _, err := s.Recv(); err != nil {
			return err
		}
	}
}

func sidecarBeat(interval time.Duration) *wire.SidecarFrame {
	return &wire.SidecarFrame{Body: &wire.SidecarFrame_Beat{Beat: &wire.SidecarBeat{IntervalMs: uint32(interval.Milliseconds())}}}
}
