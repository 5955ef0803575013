package upstream_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// TestDialIsBounded: an unresponsive server delays a request by no more than the dial timeout, and the error says that
// the request was not sent.
func TestDialIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 150 * time.Millisecond
		unresponsive := func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		p := upstream.New(upstream.Options{Connect: unresponsive, DialTimeout: bound})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		before := time.Now()
		_, err := p.Do(ctx, "10.0.0.1:1", request())
		assert.ErrorIs(t, err, upstream.ErrNotSent)
		assert.Equal(t, time.Since(before), bound)
	})
}
