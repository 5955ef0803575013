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

// slowTable answers each call after a time, or with the end of its context.
type slowTable struct {
	store.Table
	takes time.Duration
	calls int
}

func (t *slowTable) Get(ctx context.Context, _ string) (store.Row, error) {
	t.calls++
	select {
	case <-time.After(t.takes):
		return store.Row{}, store.ErrNotFound
	case <-ctx.Done():
		return store.Row{}, store.ErrUnavailable
	}
}

func TestRefreshAfterAPause(t *testing.T) {
	timing := DefaultSettings().Timing
	for _, c := range []struct {
		name  string
		pause time.Duration
		takes time.Duration
		calls int
		waits time.Duration
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
				table.takes = c.takes
				begun := time.Now()
				var waiting sync.WaitGroup
				for range 10 {
					waiting.Go(func() { _ = p.refresh(t.Context()) })
				}
				waiting.Wait()
				assert.Equal(t, table.calls, c.calls, "one poll for all")
				assert.Equal(t, time.Since(begun), c.waits)
			})
		})
	}
}
