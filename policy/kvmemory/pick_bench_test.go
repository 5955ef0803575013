package kvmemory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/outputlength"
)

// BenchmarkPick measures a choice among 350 engines, each with one run of this router and ten of
// others.
func BenchmarkPick(b *testing.B) {
	p := kvmemory.New(kvmemory.DefaultConfig(), "g")
	list := make([]kvmemory.Server, 350)
	for i := range list {
		list[i] = kvmemory.Server{ID: fmt.Sprintf("i-%03d", i), Zone: "z1", Capacity: 100_000, Slots: 48}
	}
	p.Sync(list)
	l := outputlength.New()
	for _, s := range list {
		p.Place(s.ID, &kvmemory.Run{Need: 6000, Prompt: 5000, Length: l.Begin(1000, 9000)})
		others := constantLoad(50_000)
		others.Runs = 10
		p.SetPeerLoad(s.ID, others, start)
	}
	request := kvmemory.Request{Run: &kvmemory.Run{Need: 6000, Prompt: 5000, Length: l.Begin(1000, 9000)}, Zone: "z1"}
	now := start.Add(time.Second)
	p.Pick(request, now)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := p.Pick(request, now); !ok {
			b.Fatal("no engine has enough free memory")
		}
	}
}

// BenchmarkPickBySpeed measures the same choice among engines of many speeds, each of which needs a forecast.
func BenchmarkPickBySpeed(b *testing.B) {
	p := kvmemory.New(kvmemory.DefaultConfig(), "g")
	list := make([]kvmemory.Server, 350)
	for i := range list {
		list[i] = kvmemory.Server{ID: fmt.Sprintf("i-%03d", i), Zone: "z1", Capacity: 100_000, Slots: 48}
	}
	p.Sync(list)
	now := start
	for range 10 {
		for i, s := range list {
			others := constantLoad(50_000)
			others.Runs, others.Pace = 10, pacedLoad(time.Duration(4000+25*i)*time.Microsecond).Pace
			p.SetPeerLoad(s.ID, others, now)
		}
		now = now.Add(time.Second)
	}
	r := request(lengthRun(1000), now)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := p.Pick(r, now); !ok {
			b.Fatal("no engine has enough free memory")
		}
	}
}
