package link

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcwire"

	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

// frame returns the bytes of a frame with some data.
func frame(data int, done bool) []byte {
	return drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 300, Message: 2}, Kind: drpcwire.KindMessage, Data: make([]byte, data), Done: done})
}

func TestFrameMeter(t *testing.T) {
	for _, c := range []struct {
		name string
		data []byte
		held int64
	}{
		{"whole", frame(5000, true), 0},
		{"empty", frame(0, true), 0},
		{"part of a frame", frame(5000, true)[:4000+6], 4000},
		{"frames of a message", append(frame(5000, false), frame(70, false)...), 5070},
		{"message and part of the next", append(append(frame(5000, false), frame(70, true)...), frame(100, true)[:46]...), 41},
		{"length beyond 64 bits", []byte{2, 1, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, piece := range []int{1, 3, 10_000} {
				var m frameMeter
				for data := c.data; len(data) > 0; data = data[min(piece, len(data)):] {
					m.add(data[:min(piece, len(data))])
				}
				assert.Equal(t, m.held(), c.held)
			}
		})
	}
}

// limited returns a listener with limits whose connections are read by fn.
func limited(t *testing.T, l Limits, fn func(net.Conn)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	bounded := l.Listener(lis)
	go func() {
		for {
			c, err := bounded.Accept()
			if err != nil {
				return
			}
			go fn(c)
		}
	}()
	return lis.Addr().String()
}

func dialLimited(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c
}

// TestIncompleteMessagesAreBounded guards against messages that stop short, or don't end, and fill the memory.
func TestIncompleteMessagesAreBounded(t *testing.T) {
	m := vmmemory.New(8<<20, time.Second)
	addr := limited(t, Limits{Memory: m}, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	})
	for _, data := range [][]byte{frame(4<<20, true), frame(1<<20, false)} {
		c := dialLimited(t, addr)
		var err error
		for err == nil {
			_, err = c.Write(data)
		}
	}
	c := dialLimited(t, addr)
	_, err := c.Write(frame(100_000, true)[:50_000])
	assert.NilError(t, err)
	for m.Held() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = c.Write(frame(100_000, true)[50_000:])
	assert.NilError(t, err)
	for m.Held() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestConnectionsBeyondLimit guards against connections without number, and against a busy one that is closed for one that is silent.
func TestConnectionsBeyondLimit(t *testing.T) {
	addr := limited(t, Limits{Conns: 2}, func(c net.Conn) { _, _ = io.Copy(c, c) })
	busy := dialLimited(t, addr)
	say := func() {
		_, err := busy.Write([]byte("x"))
		assert.NilError(t, err)
		_, err = io.ReadFull(busy, make([]byte, 1))
		assert.NilError(t, err)
	}
	say()
	for range 5 {
		silent := dialLimited(t, addr)
		_, err := silent.Write([]byte("x"))
		assert.NilError(t, err)
		_, err = io.ReadFull(silent, make([]byte, 1))
		assert.NilError(t, err)
		say()
	}
}
