package engine

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

const model = "m"

var start = time.Unix(1000, 0)

// sim drives a core in simulated time.
type sim struct {
	*Core
}

func newSim(change func(*Config)) sim {
	cfg := DefaultConfig()
	cfg.Models = []string{model}
	cfg.Source = "self"
	cfg.EventLoss = 0
	if change != nil {
		change(&cfg)
	}
	return sim{NewCore(cfg, start)}
}

func (s sim) advanceTo(d time.Duration) { s.Advance(start.Add(d)) }

func (s sim) elapsed() time.Duration { return s.now.Sub(start) }

// runUntilIdle advances until only ended runs and exports are left.
func (s sim) runUntilIdle() {
	for s.busy || len(s.imports) > 0 {
		at, _ := s.NextAt()
		s.Advance(at)
	}
}

func decodeReq(id string, length int) engine.DecodeRequest {
	return engine.DecodeRequest{RunID: id, Model: model, Prompt: fmt.Sprintf("%s [[len=%d]]", id, length)}
}

func (s sim) mustDecode(t *testing.T, r engine.DecodeRequest) {
	t.Helper()
	assert.NilError(t, s.Decode(r))
}

func (s sim) mustPrefill(t *testing.T, id, prompt string, priority int) *prefillJob {
	t.Helper()
	j, err := s.Prefill(engine.PrefillRequest{RunID: id, Model: model, Prompt: prompt, Priority: priority})
	assert.NilError(t, err)
	return j
}

// promptText returns n tokens that share no prefix with the text of another name.
func promptText(name byte, n int) string {
	return strings.Repeat(string(name), n*engine.BytesPerToken)
}

func TestStepTimeGrowsWithBatch(t *testing.T) {
	for _, tc := range []struct {
		runs int
		want time.Duration
	}{{1, 105 * time.Millisecond}, {4, 120 * time.Millisecond}, {20, 200 * time.Millisecond}} {
		s := newSim(func(c *Config) { c.PrefillRate = 1e12 })
		for i := range tc.runs {
			s.mustDecode(t, decodeReq(fmt.Sprint(i), 10))
		}
		s.runUntilIdle()
		assert.Equal(t, s.elapsed().Truncate(time.Microsecond), tc.want, "%d runs", tc.runs)
		assert.Equal(t, s.counters.DecodeTokens, 10*tc.runs)
		assert.Equal(t, s.counters.Completed, tc.runs)
	}
}

func TestDecodeSlotsBoundTheBatch(t *testing.T) {
	s := newSim(func(c *Config) { c.DecodeSlots = 2; c.MaxWaiting = 1 })
	s.mustDecode(t, decodeReq("a", 5))
	s.mustDecode(t, decodeReq("b", 50))
	s.mustDecode(t, decodeReq("c", 5))
	assert.ErrorIs(t, s.Decode(decodeReq("d", 5)), engine.ErrFull)
	assert.Equal(t, s.loadNow().Running, 2)
	assert.Equal(t, s.loadNow().Waiting, 1)
	s.Cancel("a")
	assert.Equal(t, s.loadNow().Running, 2, "the queued run takes the decode slot of the cancelled run")
	s.runUntilIdle()
	assert.Equal(t, s.counters.Completed, 2)
	assert.Equal(t, s.slotsUsed, 0)
}

func TestPrefillQueueByPriority(t *testing.T) {
	s := newSim(func(c *Config) { c.Role = engine.RolePrefill; c.PrefillRate = 1000 })
	first := s.mustPrefill(t, "first", promptText('a', 100), 0)
	low := s.mustPrefill(t, "low", promptText('b', 100), 0)
	high := s.mustPrefill(t, "high", promptText('c', 100), 9)
	s.advanceTo(150 * time.Millisecond)
	assert.Equal(t, first.kv.PromptTokens, 100)
	s.advanceTo(250 * time.Millisecond)
	assert.Assert(t, high.kv.Handle != "" && low.kv.Handle == "")
	s.runUntilIdle()
	assert.Equal(t, s.elapsed(), 300*time.Millisecond)
	assert.Equal(t, low.kv.Bytes, 100*s.cfg.KVBytesPerToken)
}

func TestPrefillStallsDecodeSteps(t *testing.T) {
	s := newSim(func(c *Config) { c.PrefillRate = 1000 })
	s.mustDecode(t, decodeReq("a", 1000))
	s.advanceTo(20 * time.Millisecond)
	before := s.runs["a"].produced
	s.mustPrefill(t, "p", promptText('p', 500), 0)
	s.advanceTo(500 * time.Millisecond)
	assert.Assert(t, s.runs["a"].produced-before <= 1, "at most the step in progress completes")
	s.advanceTo(600 * time.Millisecond)
	assert.Assert(t, s.runs["a"].produced-before > 3)
}

func TestPrefixCache(t *testing.T) {
	const size = 10 * engine.PrefixBlockTokens
	s := newSim(func(c *Config) { c.Role = engine.RolePrefill; c.CacheTokens = 2 * size; c.PrefillRate = 1000 })
	for _, tc := range []struct {
		name   string
		prompt string
		cached int
	}{
		{"cold", promptText('a', size), 0},
		{"all but the last token", promptText('a', size), size - 1},
		{"prefix", promptText('a', size/2) + promptText('x', 100), size / 2},
		{"another prompt fills the cache", promptText('b', size), 0},
		{"the last block of the first prompt was evicted", promptText('a', size), size - engine.PrefixBlockTokens},
	} {
		began := s.elapsed()
		j := s.mustPrefill(t, tc.name, tc.prompt, 0)
		s.runUntilIdle()
		assert.Equal(t, j.kv.CachedTokens, tc.cached, tc.name)
		assert.Equal(t, s.elapsed()-began, time.Duration(j.tokens-tc.cached)*time.Millisecond, tc.name)
	}
	assert.Assert(t, s.cache.order.Len() <= 20)
}

func TestCacheEventsAreDelayedAndHaveGaps(t *testing.T) {
	events := func() []engine.CacheEvent {
		s := newSim(func(c *Config) { c.EventLoss = 0.3; c.PrefillRate = 1e12; c.Role = engine.RolePrefill })
		s.mustPrefill(t, "a", promptText('a', 100*engine.PrefixBlockTokens), 0)
		s.advanceTo(200 * time.Millisecond)
		assert.Assert(t, cmp.Len(s.CacheEvents(0), 0))
		s.advanceTo(400 * time.Millisecond)
		return s.CacheEvents(10)
	}
	seen := events()
	assert.Assert(t, len(seen) > 50 && len(seen) < 90, "%d of 90", len(seen))
	assert.Assert(t, seen[0].Sequence > 10)
	assert.DeepEqual(t, seen, events())
}

func TestLoadReportLags(t *testing.T) {
	s := newSim(nil)
	s.advanceTo(100 * time.Millisecond)
	s.mustDecode(t, decodeReq("a", 1000))
	s.advanceTo(499 * time.Millisecond)
	assert.DeepEqual(t, s.Load(), engine.Load{FreeCacheTokens: s.cfg.CacheTokens, AgeMillis: 499})
	s.advanceTo(620 * time.Millisecond)
	assert.Equal(t, s.Load().Running, 1)
	assert.Equal(t, s.Load().AgeMillis, int64(120))
}

// TestPrefillTokensAreCountedOnce checks that each prefill token is counted under one outcome.
func TestPrefillTokensAreCountedOnce(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(s sim, kv engine.KV)
		want Counters
	}{
		{"expired", func(s sim, _ engine.KV) { s.advanceTo(time.Hour) }, Counters{PrefillDone: 100, PrefillExpired: 100}},
		{"released", func(s sim, kv engine.KV) { s.ReleaseKV(kv.Handle) }, Counters{PrefillDone: 100, PrefillReleased: 100}},
		{"cancelled after completion", func(s sim, _ engine.KV) { s.Cancel("p") }, Counters{PrefillDone: 100, PrefillReleased: 100}},
		{"used", func(s sim, kv engine.KV) { _ = s.Complete(kv.Handle) }, Counters{PrefillDone: 100, PrefillUsed: 100}},
		{"used, then released", func(s sim, kv engine.KV) {
			_ = s.Complete(kv.Handle)
			s.ReleaseKV(kv.Handle)
		}, Counters{PrefillDone: 100, PrefillUsed: 100}},
	} {
		s := newSim(func(c *Config) { c.Role = engine.RolePrefill })
		j := s.mustPrefill(t, "p", promptText('a', 100), 0)
		s.runUntilIdle()
		tc.end(s, j.kv)
		s.advanceTo(time.Hour)
		assert.DeepEqual(t, s.counters, tc.want)
		assert.Assert(t, cmp.Len(s.Exports(), 0), tc.name)
	}
}

func TestCancelMidwayDiscardsComputedTokens(t *testing.T) {
	s := newSim(func(c *Config) { c.PrefillRate = 1000 })
	j := s.mustPrefill(t, "p", promptText('a', 100), 0)
	s.advanceTo(25 * time.Millisecond)
	s.Cancel("p")
	<-j.done
	assert.ErrorIs(t, j.err, engine.ErrNotFound)
	assert.DeepEqual(t, s.counters, Counters{PrefillDone: 25, PrefillDiscarded: 25, Cancelled: 1})
	assert.Assert(t, cmp.Len(s.Runs(), 0))
	s.Cancel("unknown")
}

func TestRunIDs(t *testing.T) {
	s := newSim(nil)
	s.mustDecode(t, decodeReq("a", 2))
	assert.ErrorIs(t, s.Decode(decodeReq("a", 2)), engine.ErrExists)
	s.runUntilIdle()
	assert.ErrorIs(t, s.Decode(decodeReq("a", 2)), engine.ErrExists, "ended, but still retained")
	s.advanceTo(time.Minute)
	s.mustDecode(t, decodeReq("a", 2))
	s.Cancel("a")
	assert.Assert(t, cmp.Len(s.Runs(), 0))
	assert.ErrorIs(t, s.Decode(decodeReq("a", 2)), engine.ErrExists, "cancelled")
	assert.Equal(t, s.State().Accepted["a"], 2)
	assert.Equal(t, s.State().BegunRuns["a"], 1, "the second run was cancelled before it began decoding")
}

func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		s := newSim(func(c *Config) { c.CheckFence = checks })
		load := func(fence uint64, name string) error {
			return s.Order(engine.Order{Fence: fence, Kind: engine.OrderLoadModel, Model: name})
		}
		assert.NilError(t, load(7, "seven"))
		assert.NilError(t, load(7, "again"))
		err := load(6, "six")
		assert.Equal(t, err == nil, !checks)
		assert.Equal(t, s.serves("six"), !checks)
		assert.ErrorIs(t, s.Order(engine.Order{Fence: 9, Kind: "unheard"}), engine.ErrInvalid)
	}
}

func TestNodeAdvancesByTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := DefaultConfig()
		cfg.Models = []string{model}
		cfg.Source = "self"
		n := NewNode(cfg)
		defer n.Close()
		prompt := "x [[len=20]]"
		var kv engine.KV
		var j *prefillJob
		n.Do(func(c *Core) { j, _ = c.Prefill(engine.PrefillRequest{RunID: "p", Model: model, Prompt: prompt}) })
		<-j.done
		kv = j.kv
		began := time.Now()
		n.Do(func(c *Core) {
			assert.NilError(t, c.Decode(engine.DecodeRequest{RunID: "r", Model: model, Prompt: prompt, Handle: kv.Handle, Source: kv.Source}))
		})
		synctest.Wait()
		time.Sleep(time.Second)
		n.Do(func(c *Core) {
			assert.Equal(t, c.counters.Completed, 1)
			assert.Equal(t, c.runs["r"].forgetAt.Sub(began), 20*10500*time.Microsecond+cfg.Retain)
			assert.Equal(t, c.counters.PrefillUsed, c.counters.PrefillDone)
		})
	})
}
