package engine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

// Counters are the engine's totals since its start. Prefill work is counted in
// computed tokens, so it excludes cached tokens.
type Counters struct {
	Begun        int `json:"begun"`
	Completed    int `json:"completed"`
	Cancelled    int `json:"cancelled"`
	DecodeTokens int `json:"decode_tokens"`

	PrefillDone   int `json:"prefill_done"`
	PrefillCached int `json:"prefill_cached"`
	// PrefillUsed was transferred to a decode engine.
	PrefillUsed int `json:"prefill_used"`
	// PrefillDiscarded was cancelled midway, or its run ended before its first token.
	PrefillDiscarded int `json:"prefill_discarded"`
	// PrefillExpired was exported and evicted before its transfer completed.
	PrefillExpired int `json:"prefill_expired"`
	// PrefillReleased was exported and released unused.
	PrefillReleased int `json:"prefill_released"`
	// ImportsLost counts transfers during which the KV cache was evicted.
	ImportsLost int `json:"imports_lost"`
}

// State is the answer of the control endpoint.
type State struct {
	Info     engine.Info  `json:"info"`
	Zone     string       `json:"zone"`
	Counters Counters     `json:"counters"`
	Runs     []engine.Run `json:"runs"`
	Exports  []engine.KV  `json:"exports"`
	// Load is the current load, without the lag of load reports.
	Load engine.Load `json:"load"`
	// Accepted counts the accepted Decode calls by run id, BegunRuns those whose
	// run obtained its KV cache and began decoding.
	Accepted  map[string]int `json:"accepted"`
	BegunRuns map[string]int `json:"begun_runs"`
	// BegunPrompts counts the runs that began decoding by PromptHash, across run ids.
	BegunPrompts map[uint64]int `json:"begun_prompts"`
	Orders       []engine.Order `json:"orders"`
}

// State returns a consistent snapshot.
func (c *Core) State() State {
	return State{
		Info: c.Info(), Zone: c.cfg.Zone, Counters: c.counters, Runs: c.Runs(), Exports: c.Exports(), Load: c.loadNow(),
		Accepted: maps.Clone(c.accepted), BegunRuns: maps.Clone(c.begunRuns), BegunPrompts: maps.Clone(c.begunPrompts), Orders: slices.Clone(c.orders),
	}
}

// Info returns the properties of the engine.
func (c *Core) Info() engine.Info {
	return engine.Info{
		ID: c.cfg.ID, Role: c.cfg.Role, Models: slices.Clone(c.cfg.Models), DecodeSlots: c.cfg.DecodeSlots,
		PrefillTokensPerSecond: c.cfg.PrefillRate, LinkBytesPerSecond: c.cfg.LinkRate,
		KVBytesPerToken: c.cfg.KVBytesPerToken, StepBase: c.cfg.StepBase, StepPerRun: c.cfg.StepPerRun,
		ChecksFence: c.cfg.CheckFence,
	}
}

func (c *Core) loadNow() engine.Load {
	l := engine.Load{Running: c.slotsUsed, Waiting: len(c.decodeQueue), FreeCacheTokens: c.cache.freeTokens()}
	for _, j := range c.prefillQueue {
		l.PrefillTokens += j.tokens
		if j.run == nil { // a run queued for its prefill has a decode slot already
			l.Waiting++
		}
	}
	if c.activePrefill != nil {
		l.PrefillTokens += c.activePrefill.tokens - c.activePrefill.cached
	}
	return l
}

// renewReport takes the load report of the last renewal before t. The state does
// not change between two events, so the present state is that at the renewal.
func (c *Core) renewReport(t time.Time) {
	lag := max(c.cfg.LoadLag, time.Millisecond)
	if intervals := t.Sub(c.reportAt) / lag; intervals > 0 {
		c.report = c.loadNow()
		c.reportAt = c.reportAt.Add(intervals * lag)
	}
}

// Load returns the last load report and its age.
func (c *Core) Load() engine.Load {
	l := c.report
	l.AgeMillis = c.now.Sub(c.reportAt).Milliseconds()
	return l
}

// CacheEvents returns the visible events after a sequence number.
func (c *Core) CacheEvents(after uint64) []engine.CacheEvent {
	return c.cache.after(c.now, after)
}

// Order applies an order. An engine that checks fencing numbers returns ErrFenced
// for a number below the highest seen; other engines apply every order.
func (c *Core) Order(o engine.Order) error {
	if c.cfg.CheckFence && o.Fence < c.fence {
		return fmt.Errorf("%w: %d is below %d", engine.ErrFenced, o.Fence, c.fence)
	}
	switch o.Kind {
	case engine.OrderLoadModel:
		c.cfg.Models = append(without(c.cfg.Models, o.Model), o.Model)
	case engine.OrderUnloadModel:
		c.cfg.Models = without(c.cfg.Models, o.Model)
	case engine.OrderLoadAdapter:
	case engine.OrderRole:
		c.cfg.Role = o.Role
	default:
		return fmt.Errorf("%w: order kind %q", engine.ErrInvalid, o.Kind)
	}
	c.fence = max(c.fence, o.Fence)
	c.orders = append(c.orders, o)
	return nil
}
