// Package engine is a stand-in for a model engine: a deterministic model of
// continuous batching behind the HTTP protocol of the engine port, with
// injectable faults. It runs no language model; it simulates the processing time
// and the accounting of a real engine.
package engine

import (
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

// Core is the model of the engine as a discrete-event simulation. It has no
// clock: Advance moves it to a given time and NextAt returns the time of its next
// event. It is not safe for concurrent use.
//
// The accelerator runs one task at a time: a prefill, or one decode step of the
// whole batch. Queued prefills precede decode steps, so a prefill on a decoding
// engine stalls its steps. Prefills are ordered by priority, then by arrival; a
// task in progress is not preempted.
type Core struct {
	cfg    Config
	now    time.Time
	nextID uint64

	runs        map[string]*run
	prefills    map[string]*prefillJob
	decodeQueue []*run
	slotsUsed   int
	batch       []*run
	stepRuns    []*run
	imports     []*run
	retained    []*run

	prefillQueue  []*prefillJob
	activePrefill *prefillJob
	busy          bool
	busyUntil     time.Time
	workBegan     time.Time

	exports map[string]*export
	expiry  []*export

	cache   *prefixCache
	actions []action

	slowFactor float64
	linkFactor float64

	orders       []engine.Order
	fence        uint64
	counters     Counters
	begunRuns    map[string]int
	accepted     map[string]int
	begunPrompts map[uint64]int

	report   engine.Load
	reportAt time.Time
}

// NewCore returns an idle engine at the time now.
func NewCore(cfg Config, now time.Time) *Core {
	cfg.Models = slices.Clone(cfg.Models)
	return &Core{
		cfg:          cfg,
		now:          now,
		runs:         make(map[string]*run),
		prefills:     make(map[string]*prefillJob),
		exports:      make(map[string]*export),
		cache:        newPrefixCache(cfg),
		slowFactor:   1,
		linkFactor:   1,
		begunRuns:    make(map[string]int),
		accepted:     make(map[string]int),
		begunPrompts: make(map[uint64]int),
		report:       engine.Load{FreeCacheTokens: cfg.CacheTokens},
		reportAt:     now,
	}
}

// Advance handles all events due up to the time to. A time in the past is
// treated as the present.
func (c *Core) Advance(to time.Time) {
	for {
		at, ok := c.NextAt()
		if !ok || at.After(to) {
			break
		}
		c.moveTo(at)
		c.handleDue()
		c.dispatch()
	}
	c.moveTo(to)
}

// NextAt returns the time of the next event, if there is one.
func (c *Core) NextAt() (time.Time, bool) {
	var at time.Time
	var ok bool
	consider := func(t time.Time) {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	if c.busy {
		consider(c.busyUntil)
	}
	if len(c.expiry) > 0 {
		consider(c.expiry[0].expires)
	}
	if len(c.retained) > 0 {
		consider(c.retained[0].forgetAt)
	}
	for _, r := range c.imports {
		consider(c.importDue(r))
	}
	if ok && at.Before(c.now) {
		at = c.now
	}
	return at, ok
}

func (c *Core) moveTo(t time.Time) {
	if !t.After(c.now) {
		return
	}
	c.renewReport(t)
	c.progressImports(t.Sub(c.now))
	c.now = t
}

func (c *Core) handleDue() {
	if c.busy && !c.busyUntil.After(c.now) {
		c.finishWork()
	}
	for len(c.expiry) > 0 && !c.expiry[0].expires.After(c.now) {
		e := c.expiry[0]
		c.counters.PrefillExpired += e.computed
		c.dropExport(e)
	}
	for len(c.retained) > 0 && !c.retained[0].forgetAt.After(c.now) {
		delete(c.runs, c.retained[0].req.RunID)
		c.retained = c.retained[1:]
	}
	c.finishImports()
}

// dispatch assigns free decode slots to queued runs and starts the accelerator's
// next task.
func (c *Core) dispatch() {
	c.admit()
	if c.busy {
		return
	}
	if len(c.prefillQueue) > 0 {
		c.startPrefill()
		return
	}
	if len(c.batch) > 0 {
		c.startStep()
	}
}

func (c *Core) occupy(d time.Duration) {
	c.busy = true
	c.workBegan = c.now
	c.busyUntil = c.now.Add(time.Duration(float64(d) * c.slowFactor))
}

func (c *Core) finishWork() {
	c.busy = false
	if c.activePrefill != nil {
		c.finishPrefill()
		return
	}
	c.finishStep()
}

// SetFactors sets the fault factors: slow multiplies the duration of steps and
// prefills that start from now on; link multiplies the rate of the inbound link
// immediately, and zero stalls it.
func (c *Core) SetFactors(slow, link float64) {
	c.slowFactor = slow
	c.linkFactor = link
}

func (c *Core) serves(model string) bool {
	return slices.Contains(c.cfg.Models, model)
}
