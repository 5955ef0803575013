package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

type runState uint8

const (
	stateQueued   runState = iota // queued for a decode slot
	stateClaiming                 // has a slot, claiming the KV cache from the source engine
	stateImporting
	stateConfirming // transfer done, confirming it to the source engine
	statePrefill
	stateDecode
	stateDone
)

// run is one decode request. Its whole output is available until the run is
// forgotten: the answer is a pure function, so only the positions are stored.
type run struct {
	seq          uint64
	req          engine.DecodeRequest
	state        runState
	script       script
	produced     int
	promptTokens int
	cached       int
	// computed is the number of prefill tokens wasted if the run ends before its first token.
	computed       int
	remaining      float64 // bytes to import
	deadline       time.Time
	firstTokenDone bool
	err            error
	forgetAt       time.Time
	changed        chan struct{}
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) ended() bool {
	return r.state == stateDone
}

// Decode queues a run. It returns ErrInvalid, ErrExists or ErrFull.
func (c *Core) Decode(req engine.DecodeRequest) error {
	if err := c.checkDecode(req); err != nil {
		return err
	}
	s := newScript(req.Model, req.Prompt, req.MaxTokens)
	if req.Position > s.total {
		return fmt.Errorf("%w: position beyond the answer", engine.ErrInvalid)
	}
	if req.Prior != s.text(req.Position) {
		return fmt.Errorf("%w: prior text is not the output before the position", engine.ErrInvalid)
	}
	c.nextID++
	r := &run{
		seq: c.nextID, req: req, script: s, produced: req.Position,
		promptTokens: engine.EstimateTokens(req.Prompt), changed: make(chan struct{}),
	}
	c.runs[req.RunID] = r
	c.accepted[req.RunID]++
	c.decodeQueue = append(c.decodeQueue, r)
	slices.SortStableFunc(c.decodeQueue, func(a, b *run) int {
		return cmp.Compare(b.req.Priority, a.req.Priority)
	})
	c.dispatch()
	return nil
}

func (c *Core) checkDecode(req engine.DecodeRequest) error {
	switch {
	case req.RunID == "" || req.Position < 0 || req.MaxTokens < 0:
		return fmt.Errorf("%w: run id, position or max tokens", engine.ErrInvalid)
	case c.cfg.Role == engine.RolePrefill:
		return fmt.Errorf("%w: a prefill engine does not decode", engine.ErrInvalid)
	case !c.serves(req.Model):
		return fmt.Errorf("%w: model %q is not loaded", engine.ErrInvalid, req.Model)
	case c.runs[req.RunID] != nil:
		return engine.ErrExists
	case len(c.decodeQueue) >= c.cfg.MaxWaiting:
		return engine.ErrFull
	}
	return nil
}

// admit assigns free decode slots to queued runs, which then fetch or compute their KV cache.
func (c *Core) admit() {
	for c.slotsUsed < c.cfg.DecodeSlots && len(c.decodeQueue) > 0 {
		r := c.decodeQueue[0]
		c.decodeQueue = c.decodeQueue[1:]
		c.slotsUsed++
		if r.req.Handle != "" {
			c.beginClaim(r)
			continue
		}
		r.state = statePrefill
		text := r.req.Prompt + r.req.Prior
		c.enqueue(&prefillJob{
			id: r.req.RunID, owner: r.req.Owner, run: r, model: r.req.Model, text: text, priority: r.req.Priority,
			tokens: engine.EstimateTokens(text),
		})
	}
}

// startDecode adds a run that has its KV cache to the batch, starting with the next step.
func (c *Core) startDecode(r *run) {
	r.state = stateDecode
	c.begunRuns[r.req.RunID]++
	c.begunPrompts[PromptHash(r.req.Model, r.req.Prompt)]++
	c.counters.Begun++
	if r.produced >= r.script.total {
		c.endRun(r, nil)
		return
	}
	c.batch = append(c.batch, r)
	r.notify()
}

func (c *Core) startStep() {
	c.stepRuns = slices.Clone(c.batch)
	c.occupy(c.cfg.StepBase + time.Duration(len(c.batch))*c.cfg.StepPerRun)
}

func (c *Core) finishStep() {
	for _, r := range c.stepRuns {
		if r.state != stateDecode {
			continue
		}
		r.produced++
		r.firstTokenDone = true
		c.counters.DecodeTokens++
		if r.produced >= r.script.total {
			c.endRun(r, nil)
			continue
		}
		r.notify()
	}
	c.stepRuns = nil
}

// endRun frees the decode slot of a run. The run is retained for a while, so that
// its output can be resumed and its id is rejected; it uses no KV memory.
func (c *Core) endRun(r *run, err error) {
	if r.state == stateQueued {
		c.decodeQueue = without(c.decodeQueue, r)
	} else {
		c.slotsUsed--
	}
	c.batch = without(c.batch, r)
	c.imports = without(c.imports, r)
	if err != nil && !r.firstTokenDone {
		c.counters.PrefillDiscarded += r.computed
	}
	if err == nil {
		c.counters.Completed++
	}
	r.state = stateDone
	r.err = err
	r.forgetAt = c.now.Add(c.cfg.Retain)
	c.retained = append(c.retained, r)
	r.notify()
}

// Cancel ends the run and the prefill with this id, and drops the KV cache that
// the prefill has exported. An unknown id is no error.
func (c *Core) Cancel(id string) {
	if r := c.runs[id]; r != nil && !r.ended() {
		c.dropJob(func(j *prefillJob) bool { return j.run == r })
		c.counters.Cancelled++
		c.endRun(r, fmt.Errorf("%w: cancelled", engine.ErrNotFound))
	}
	if j := c.prefills[id]; j != nil {
		c.counters.Cancelled++
		c.dropJob(func(o *prefillJob) bool { return o == j })
		j.end(engine.KV{}, fmt.Errorf("%w: cancelled", engine.ErrNotFound))
	}
	for _, e := range c.exportList() {
		if e.runID == id {
			c.ReleaseKV(e.kv.Handle)
		}
	}
	c.dispatch()
}

// Runs lists the runs and prefills that use or are queued for memory, sorted by id.
func (c *Core) Runs() []engine.Run {
	out := make([]engine.Run, 0, len(c.runs)+len(c.prefills))
	for _, r := range c.runs {
		if !r.ended() {
			out = append(out, engine.Run{ID: r.req.RunID, Owner: r.req.Owner, Phase: r.phase(), Position: r.produced})
		}
	}
	for _, j := range c.prefills {
		out = append(out, engine.Run{ID: j.id, Owner: j.owner, Phase: engine.PhasePrefill})
	}
	slices.SortFunc(out, func(a, b engine.Run) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (r *run) phase() engine.Phase {
	switch {
	case r.state == stateDecode:
		return engine.PhaseDecode
	case r.req.Handle != "":
		return engine.PhaseImport
	default:
		return engine.PhasePrefill
	}
}

func without[T comparable](list []T, item T) []T {
	if i := slices.Index(list, item); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
