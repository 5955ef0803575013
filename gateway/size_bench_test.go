package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// BenchmarkReport measures the cost of one report of another gateway at a hundred gateways and a thousand servers,
// without its transport.
func BenchmarkReport(b *testing.B) {
	v := newView()
	var list []registry.Server
	for i := range 1000 {
		s := registry.Server{ID: fmt.Sprint("i-", i), Service: "llm", Addr: "10.0.0.1:80", Stage: registry.Decode}
		if i%3 == 0 {
			s.Stage = registry.Prefill
		}
		list = append(list, s)
	}
	now := time.Now()
	v.applyServers(1, list, now)
	p := newPeerLoads(v.incarnationID)
	report := func(i int) *peer.Report {
		return &peer.Report{Addr: fmt.Sprint("g", i), Shares: []*peer.Share{{Server: fmt.Sprint("i-", i), Tokens: 5000}, {Server: fmt.Sprint("i-", i+100), Tokens: 5000}}}
	}
	for i := range 98 {
		p.receiveReport(report(i), now)
	}
	b.Run("take", func(b *testing.B) {
		r := report(5)
		for b.Loop() {
			p.receiveReport(r, now)
		}
	})
	b.Run("refresh", func(b *testing.B) {
		for b.Loop() {
			p.refresh(time.Second, now)
		}
	})
	b.Run("known", func(b *testing.B) {
		for b.Loop() {
			v.knownServers()
		}
	})
	b.Run("settle", func(b *testing.B) {
		for b.Loop() {
			v.expire(now)
		}
	})
}
