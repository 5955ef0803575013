package vmlink_test

import (
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
			l.Sent(bytesPerSecond / 100)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, l.Wait(), time.Duration(0))
		l.Sent(bytesPerSecond / 2)
		assert.Assert(t, l.Wait() > 450*time.Millisecond && l.Wait() <= 500*time.Millisecond, "%v", l.Wait())
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, l.Wait(), time.Duration(0))
		assert.Equal(t, l.BytesSent(), int64(bytesPerSecond*3/2))
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
