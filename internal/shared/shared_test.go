package shared_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/shared"
)

// TestWaitingCallersShareOneCall: those that ask while a call is made share the next one, and never the one that began before.
func TestWaitingCallersShareOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, calls := time.Now(), 0
		c := shared.New(func() time.Duration { return time.Since(start) + time.Second })
		do := func(ok bool, err error) error {
			return c.Do(t.Context(), func(time.Duration) (bool, error) {
				calls++
				time.Sleep(time.Second)
				return ok, err
			})
		}
		var all sync.WaitGroup
		all.Go(func() { assert.Check(t, do(true, nil)) })
		time.Sleep(time.Millisecond)
		for range 5 {
			all.Go(func() { assert.Check(t, do(true, nil)) })
		}
		all.Wait()
		assert.Equal(t, calls, 2)
		failure := errors.New("away")
		assert.ErrorIs(t, do(false, failure), failure)
		assert.Equal(t, calls, 3)
	})
}

// TestWaitEndsWithContext: a caller does not wait longer for its turn than its context allows.
func TestWaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := shared.New(func() time.Duration { return time.Second })
		var slow sync.WaitGroup
		slow.Go(func() {
			_ = c.Do(t.Context(), func(time.Duration) (bool, error) {
				time.Sleep(time.Minute)
				return true, nil
			})
		})
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := c.Do(ctx, func(time.Duration) (bool, error) { return true, nil })
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		slow.Wait()
	})
}
