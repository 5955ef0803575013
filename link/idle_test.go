package link

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/wire"
)

// TestIdleLinkDetectsUnresponsivePeerInTime: an idle link ticks rarely, yet notices in time when a peer that
// announced the short interval becomes unresponsive.
func TestIdleLinkDetectsUnresponsivePeerInTime(t *testing.T) {
	const (
		idle           = 256 * heartbeatInterval
		announcedAfter = 301 * time.Second // coincides with neither a heartbeat nor a tick
	)
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ticks := 0
		near := connect(t, func(s wire.DRPCSidecar_SessionStream) error {
			ended := make(chan error, 1)
			go func() { ended <- drainFrames(s) }()
			for time.Since(start) < announcedAfter {
				if err := s.Send(sidecarHeartbeat(idle)); err != nil {
					return err
				}
				time.Sleep(min(idle, announcedAfter-time.Since(start)))
			}
			if err := s.Send(sidecarHeartbeat(heartbeatInterval)); err != nil {
				return err
			}
			return <-ended
		})
		near.opts.IdleHeartbeatInterval = idle
		near.opts.Active = func() bool { ticks++; return false }
		err := near.Run(t.Context(), func(f *wire.SidecarFrame) {
			near.ReceiveHeartbeat(time.Duration(f.GetBeat().GetIntervalMs()) * time.Millisecond)
		})
		assert.ErrorIs(t, err, ErrUnresponsive)
		assert.Assert(t, time.Since(start) <= announcedAfter+silenceLimit+2*heartbeatInterval, "after %s", time.Since(start))
		assert.Assert(t, ticks < 80, "%d ticks", ticks)
	})
}

// drainFrames discards frames until the session ends.
func drainFrames(s wire.DRPCSidecar_SessionStream) error {
	for {
		if _, err := s.Recv(); err != nil {
			return err
		}
	}
}

func sidecarHeartbeat(interval time.Duration) *wire.SidecarFrame {
	return &wire.SidecarFrame{Body: &wire.SidecarFrame_Beat{Beat: &wire.SidecarBeat{IntervalMs: uint32(interval.Milliseconds())}}}
}
