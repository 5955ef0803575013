package vmmemory

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
)

// reportInterval is the shortest time between two log lines.
const reportInterval = time.Second

// Report logs, until ctx ends, that requests were rejected or evicted, and registers the metrics of the memory. It does not block.
func (m *Memory) Report(ctx context.Context, l *log.Logger, met *metrics.Set) {
	met.GaugeFunc(metrics.RequestMemory, m.Held)
	met.GaugeFunc(metrics.RequestsWithoutMemory, m.counts.rejected.Load)
	met.GaugeFunc(metrics.RequestsEvicted, m.counts.evicted.Load)
	met.GaugeFunc(metrics.AnswerMemory, m.answers.Held)
	met.GaugeFunc(metrics.AnswersWithoutMemory, m.answers.counts.total)
	go m.report(ctx, l)
}

func (m *Memory) report(ctx context.Context, l *log.Logger) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	var rejected, evicted int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		nowRejected, nowEvicted := m.counts.rejected.Load(), m.counts.evicted.Load()
		if nowRejected != rejected || nowEvicted != evicted {
			event.MemoryShort.Log(l).Int64("rejected", nowRejected-rejected).Int64("evicted", nowEvicted-evicted).Int64("held", m.Held()).Msg("")
		}
		rejected, evicted = nowRejected, nowEvicted
	}
}
