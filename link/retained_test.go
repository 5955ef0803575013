package link

import (
	"runtime"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/wire"
)

// TestLargeFrameIsNotRetained: a large prompt must not enlarge the buffers of a link permanently, at either
// end. Both ends are in this process.
func TestLargeFrameIsNotRetained(t *testing.T) {
	const (
		large = 4 << 20
		// small is the number of small frames that follow; the reader releases its packet after some of them.
		small       = 32
		maxRetained = 64 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		received := 0
		near := connect(t, func(s wire.DRPCSidecar_SessionStream) error {
			for {
				if _, err := s.Recv(); err != nil {
					return err
				}
				received++
			}
		})
		send := func(id string) { assert.NilError(t, near.stream.Send(cancelFrame(id))) }
		send("first")
		synctest.Wait()
		before := heap()
		send(strings.Repeat("x", large))
		for range small {
			send("next")
		}
		synctest.Wait()
		assert.Equal(t, received, 2+small)
		retained := int64(heap()) - int64(before)
		assert.Assert(t, retained < maxRetained, "%d bytes", retained)
		near.Close()
	})
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
