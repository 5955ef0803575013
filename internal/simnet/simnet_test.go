package simnet_test

import (
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/simnet"
)

// TestConnectionsShareALink: two concurrent transfers to one host take as long as its link needs for the sum
// of both.
func TestConnectionsShareALink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, size = 1_000_000, 500_000
		network := simnet.New()
		server := network.Host("10.0.0.1:1", rate)
		lis, err := server.Listen("")
		assert.NilError(t, err)
		start := time.Now()
		for range 2 {
			c, err := network.Host("10.0.0.2:1", 100*rate).Dial(t.Context(), "10.0.0.1:1")
			assert.NilError(t, err)
			go func() { _, _ = c.Write(make([]byte, size)) }()
		}
		ended := make(chan error)
		for range 2 {
			c, err := lis.Accept()
			assert.NilError(t, err)
			go func() {
				_, err := io.ReadFull(c, make([]byte, size))
				ended <- err
			}()
		}
		assert.NilError(t, <-ended)
		assert.NilError(t, <-ended)
		took := time.Since(start)
		assert.Assert(t, took > time.Second && took < time.Second+50*time.Millisecond, "%v", took)
		assert.Equal(t, server.Received(), 2*size)
	})
}

// TestReadsEnd: a read ends at its deadline, and when the connection is closed.
func TestReadsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New()
		lis, err := network.Host("10.0.0.1:1", 1000).Listen("")
		assert.NilError(t, err)
		c, err := network.Host("10.0.0.2:1", 1000).Dial(t.Context(), "10.0.0.1:1")
		assert.NilError(t, err)
		assert.NilError(t, c.SetDeadline(time.Now().Add(time.Second)))
		_, err = c.Read(make([]byte, 1))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.NilError(t, c.SetDeadline(time.Time{}))
		other, err := lis.Accept()
		assert.NilError(t, err)
		time.AfterFunc(time.Second, func() { _ = other.Close() })
		_, err = c.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
		assert.NilError(t, lis.Close())
		_, err = lis.Accept()
		assert.ErrorIs(t, err, net.ErrClosed)
	})
}
