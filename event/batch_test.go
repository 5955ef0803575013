package event_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/event"
)

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestBatchWritesLinesTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		b := event.NewBatch(out)
		for range 3 {
			_, err := b.Write([]byte("line\n"))
			assert.NilError(t, err)
		}
		assert.Equal(t, out.String(), "")
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, out.String(), "line\nline\nline\n")
		_, err := b.Write([]byte("next\n"))
		assert.NilError(t, err)
		b.Flush()
		assert.Equal(t, out.String(), "line\nline\nline\nnext\n")
	})
}

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return len(p), nil
}

func TestBatchNeverBlocksItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{unblock: make(chan struct{})}
		b := event.NewBatch(out)
		line := []byte(strings.Repeat("x", 1000) + "\n")
		for range 200 {
			_, err := b.Write(line)
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		dropped := b.TakeDropped()
		assert.Assert(t, dropped > 50 && dropped < 200, "%d", dropped)
		assert.Equal(t, b.TakeDropped(), int64(0))
		close(out.unblock)
	})
}
