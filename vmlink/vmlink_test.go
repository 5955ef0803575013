package vmlink_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/vmlink"
)

// bytesPerSecond is the rate of a small VM's link, 10 Mbit/s.
const bytesPerSecond = 1_250_000

// TestWaitGrowsBeyondRate: what is sent within the link's rate waits for nothing, what is beyond it adds up.
func TestWaitGrowsBeyondRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := vmlink.New(bytesPerSecond)
		for range 100 {
			l.Sent(bytesPerSecond * 8 / 1000)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, l.Wait(), time.Duration(0))
		l.Sent(bytesPerSecond * 2 / 5)
		assert.Assert(t, l.Wait() > 400*time.Millisecond && l.Wait() <= 450*time.Millisecond, "%v", l.Wait())
		time.Sleep(560 * time.Millisecond)
		assert.Equal(t, l.Wait(), time.Duration(0))
		assert.Equal(t, l.BytesSent(), int64(bytesPerSecond*12/10))
	})
}

// TestWaitIsBounded guards against a link that counts as full long after what was sent beyond its rate was lost.
func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := vmlink.New(bytesPerSecond)
		for range 1000 {
			l.Sent(bytesPerSecond)
		}
		assert.Assert(t, l.Wait() < time.Second, "%v", l.Wait())
		time.Sleep(time.Second)
		assert.Equal(t, l.Wait(), time.Duration(0))
	})
}

// TestUnknownRateNeverWaits: a link without a stated rate, and none at all, only count.
func TestUnknownRateNeverWaits(t *testing.T) {
	for _, l := range []*vmlink.Link{nil, vmlink.New(0)} {
		l.Sent(1 << 30)
		l.Received(5)
		assert.Equal(t, l.Wait(), time.Duration(0))
		assert.Equal(t, l.BytesPerSecond(), 0.0)
	}
}

// TestLongMessageEndsWithItsContext: a message for which the link has no room before its context ends is given up, and no longer
// counts as waiting.
func TestLongMessageEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := vmlink.New(bytesPerSecond)
		here, there := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, there) }()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		err := l.WriteLong(ctx, l.Conn(here), make([]byte, bytesPerSecond))
		assert.Assert(t, errors.Is(err, vmlink.ErrTooLate), "%v", err)
		assert.Equal(t, l.SendTime(), time.Duration(0))
		assert.NilError(t, here.Close())
	})
}

// TestConnIsCounted: both directions of a connection are counted, and a connection without a link is left as it is.
func TestConnIsCounted(t *testing.T) {
	l := vmlink.New(bytesPerSecond)
	here, there := net.Pipe()
	c := l.Conn(here)
	go func() {
		_, _ = io.WriteString(there, "answer")
		_, _ = io.ReadAll(there)
	}()
	_, err := io.ReadFull(c, make([]byte, len("answer")))
	assert.NilError(t, err)
	_, err = io.WriteString(c, "request")
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	assert.Equal(t, l.BytesReceived(), int64(len("answer")))
	assert.Equal(t, l.BytesSent(), int64(len("request")))
	assert.Equal(t, (*vmlink.Link)(nil).Conn(here), here)
}
