package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// slowTable takes a few milliseconds per commit, like a table in another zone.
type slowTable struct {
	store.Table
	commits atomic.Int64
}

func (s *slowTable) Commit(ctx context.Context, t store.Txn) error {
	s.commits.Add(1)
	time.Sleep(3 * time.Millisecond)
	return s.Table.Commit(ctx, t)
}

// BenchmarkTake measures how many claims of one entry share a transaction, by the
// number of concurrent callers.
func BenchmarkTake(b *testing.B) {
	for _, callers := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			table := &slowTable{Table: memory.New(memory.Options{}).Table()}
			t := NewTable(table, time.Now)
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			go t.Run(ctx)
			var n atomic.Int64
			b.SetParallelism(callers)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					id := fmt.Sprint(n.Add(1))
					if t.Take(ctx, Claim{"c", id, id}) != Granted {
						b.Error("not granted")
					}
				}
			})
			b.ReportMetric(float64(table.commits.Load())/float64(b.N), "commits/claim")
		})
	}
}

func BenchmarkTicket(b *testing.B) {
	l := NewLedger(1 << 16)
	now := time.Now()
	for i := range b.N {
		c := Claim{"c", fmt.Sprint(i), "r"}
		if v, _ := l.Take(c, now); v == Unavailable {
			now = now.Add(2 * Retention)
		}
	}
}
