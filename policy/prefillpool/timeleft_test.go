package prefillpool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/prefillpool"
)

// TestPromptsWithoutTimeAreNotSent guards against prompts that are prefilled although the first event would come after
// the deadline, or although the memory for the run is given away before.
func TestPromptsWithoutTimeAreNotSent(t *testing.T) {
	handOver := func(p *prefillpool.Pool) { p.ObserveHandOver(200*time.Millisecond, start) }
	for _, c := range []struct {
		name              string
		setUp             func(p *prefillpool.Pool)
		left, reservation time.Duration
		want              string
	}{
		{"time enough", func(*prefillpool.Pool) {}, 110 * time.Millisecond, 110 * time.Millisecond, "a"},
		{"no deadline", backlogs(20_000), 0, 0, "a"},
		{"the prefill takes longer", func(*prefillpool.Pool) {}, 90 * time.Millisecond, 0, ""},
		{"the hand-over takes longer", handOver, 250 * time.Millisecond, 0, ""},
		{"no longer than both", handOver, 310 * time.Millisecond, 0, "a"},
		{"the backlog takes longer", backlogs(20_000), 400 * time.Millisecond, 0, ""},
		{"the other backlog is shorter", func(p *prefillpool.Pool) { p.SetPeerLoad("a", 20_000) }, 400 * time.Millisecond, 0, "b"},
		{"the reservation lapses before", backlogs(20_000), time.Minute, 400 * time.Millisecond, ""},
		{"the reservation is not needed for the hand-over", handOver, time.Minute, 110 * time.Millisecond, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := prefillpool.New(prefillpool.DefaultConfig(), "edge-1")
			c.setUp(p)
			q := prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1, Left: c.left, ReservationLeft: c.reservation}
			got, _ := p.Pick(servers, q, start)
			assert.Equal(t, got.Server.ID, c.want)
		})
	}
}

// TestDecodePrefillTooLate: a decode engine takes twice as long.
func TestDecodePrefillTooLate(t *testing.T) {
	p := prefillpool.New(prefillpool.DefaultConfig(), "edge-1")
	for left, want := range map[time.Duration]bool{0: false, 190 * time.Millisecond: true, 210 * time.Millisecond: false} {
		assert.Equal(t, p.DecodePrefillTooLate(prefillpool.Request{Tokens: 5000, Left: left}), want, "%v", left)
	}
}

// TestHandOverIsForgotten guards against a pool that sends no prompts any more: while a slow hand-over is expected, no
// run that fetches a KV cache begins, so that nothing would show that hand-overs are fast again.
func TestHandOverIsForgotten(t *testing.T) {
	p := prefillpool.New(prefillpool.DefaultConfig(), "edge-1")
	p.ObserveHandOver(10*time.Second, start)
	q := prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1, Left: 5 * time.Second}
	for _, after := range []time.Duration{time.Second, 4900 * time.Millisecond, 5 * time.Second} {
		_, ok := p.Pick(servers, q, start.Add(after))
		assert.Equal(t, ok, after >= 5*time.Second, "%v", after)
	}
	p.ObserveHandOver(200*time.Millisecond, start.Add(5*time.Second))
	_, ok := p.Pick(servers, q, start.Add(6*time.Second))
	assert.Assert(t, ok, "the mean starts anew")
}
