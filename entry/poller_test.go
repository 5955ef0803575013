package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// slowTable answers each call after a delay, or fails when its context ends.
type slowTable struct {
	store.Table
	delay time.Duration
	calls int
}

func (t *slowTable) Get(ctx context.Context, _ string) (store.Row, error) {
	t.calls++
	select {
	case <-time.After(t.delay):
		return store.Row{}, store.ErrNotFound
	case <-ctx.Done():
		return store.Row{}, store.ErrUnavailable
	}
}

func TestRefreshWhenPollIsOverdue(t *testing.T) {
	timing := DefaultSettings().Timing
	for _, c := range []struct {
		name  string
		pause time.Duration
		delay time.Duration
		calls int
		wait  time.Duration
	}{
		{"fresh", timing.Poll, 0, 1, 0},
		{"paused", time.Minute, 10 * time.Millisecond, 2, 10 * time.Millisecond},
		{"paused, platform hangs", time.Minute, time.Hour, 2, timing.PlatformCall},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &slowTable{}
				p := newPoller(dissemination.NewReader(table, dissemination.NewState()), timing)
				assert.NilError(t, p.poll(t.Context()))
				time.Sleep(c.pause)
				table.delay = c.delay
				start := time.Now()
				var waiting sync.WaitGroup
				for range 10 {
					waiting.Go(func() { _ = p.refreshIfOverdue(t.Context()) })
				}
				waiting.Wait()
				assert.Equal(t, table.calls, c.calls, "one poll for all")
				assert.Equal(t, time.Since(start), c.wait)
			})
		})
	}
}
