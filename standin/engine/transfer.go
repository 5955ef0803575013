package engine

import (
	"fmt"
	"math"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

// Claim requests a KV cache from the exporting engine before its transfer. The
// text hashes identify the prompt for which the importing engine needs it.
type Claim struct {
	Handle string   `json:"handle"`
	Texts  []uint64 `json:"texts"`
}

// ClaimReply describes a claimed KV cache.
type ClaimReply struct {
	Bytes    int64         `json:"bytes"`
	Tokens   int           `json:"tokens"`
	Cached   int           `json:"cached"`
	Computed int           `json:"computed"`
	TTL      time.Duration `json:"ttl_ns"`
}

type actionKind uint8

const (
	actionClaim actionKind = iota
	actionComplete
)

// action is a call to another engine that the core requests. The answer is passed
// to Claimed or Confirmed.
type action struct {
	kind   actionKind
	runID  string
	seq    uint64
	source string
	claim  Claim
}

// takeActions returns the calls requested since it was last called.
func (c *Core) takeActions() []action {
	out := c.actions
	c.actions = nil
	return out
}

func (c *Core) beginClaim(r *run) {
	r.state = stateClaiming
	c.requestAction(actionClaim, r)
}

func (c *Core) requestAction(kind actionKind, r *run) {
	texts := []uint64{textHash(r.req.Model, r.req.Prompt)}
	if r.req.Prior != "" {
		texts = append(texts, textHash(r.req.Model, r.req.Prompt+r.req.Prior))
	}
	c.actions = append(c.actions, action{kind, r.req.RunID, r.seq, r.req.Source, Claim{r.req.Handle, texts}})
}

// Claimed starts the transfer of a claimed KV cache, or ends the run with err.
func (c *Core) Claimed(runID string, reply ClaimReply, err error) {
	r := c.runs[runID]
	if r == nil || r.state != stateClaiming {
		return
	}
	if err != nil {
		c.rejectRun(r, err)
		return
	}
	r.cached = reply.Cached
	r.computed = reply.Computed
	r.remaining = float64(reply.Bytes)
	if r.req.Source == c.cfg.Source {
		r.remaining = 0
	}
	r.deadline = c.now.Add(reply.TTL)
	r.state = stateImporting
	c.imports = append(c.imports, r)
	r.notify()
	c.finishImports()
	c.dispatch()
}

// rejectRun ends a run whose claim failed and frees its id.
func (c *Core) rejectRun(r *run, err error) {
	c.endRun(r, err)
	c.retained = without(c.retained, r)
	delete(c.runs, r.req.RunID)
	if c.accepted[r.req.RunID]--; c.accepted[r.req.RunID] == 0 {
		delete(c.accepted, r.req.RunID)
	}
	c.dispatch()
}

// Confirmed adds an imported run to the batch, or ends it with err.
func (c *Core) Confirmed(runID string, err error) {
	r := c.runs[runID]
	if r == nil || r.state != stateConfirming {
		return
	}
	if err != nil {
		r.computed = 0 // counted by the exporting engine as evicted
		c.endRun(r, err)
	} else {
		c.startDecode(r)
	}
	c.dispatch()
}

// importRate is each concurrent import's equal share of the link rate.
func (c *Core) importRate() float64 {
	return c.cfg.LinkRate * c.linkFactor / float64(len(c.imports))
}

func (c *Core) importDue(r *run) time.Time {
	seconds := math.Inf(1)
	if r.remaining <= 0 {
		seconds = 0
	} else if rate := c.importRate(); rate > 0 {
		seconds = r.remaining / rate
	}
	left := r.deadline.Sub(c.now)
	if seconds < left.Seconds() {
		return c.now.Add(time.Duration(math.Ceil(seconds * float64(time.Second))))
	}
	return r.deadline
}

func (c *Core) progressImports(d time.Duration) {
	if len(c.imports) == 0 {
		return
	}
	transferred := c.importRate() * d.Seconds()
	for _, r := range c.imports {
		r.remaining -= min(transferred, r.remaining)
	}
}

// finishImports ends the transfers that are complete, and those whose KV cache
// the exporting engine has evicted in the meantime.
func (c *Core) finishImports() {
	for i := 0; i < len(c.imports); {
		r := c.imports[i]
		switch {
		case r.remaining < 1:
			c.imports = without(c.imports, r)
			r.state = stateConfirming
			c.requestAction(actionComplete, r)
		case !r.deadline.After(c.now):
			r.computed = 0
			c.counters.ImportsLost++
			c.endRun(r, fmt.Errorf("%w: KV cache evicted during the transfer", engine.ErrNotFound))
		default:
			i++
		}
	}
}

// Claim answers an importing engine. The KV cache is retained until its transfer is
// completed or it expires; a claim does not extend its time to live.
func (c *Core) Claim(cl Claim) (ClaimReply, error) {
	e := c.exports[cl.Handle]
	if e == nil {
		return ClaimReply{}, fmt.Errorf("%w: KV handle %q", engine.ErrNotFound, cl.Handle)
	}
	for _, t := range cl.Texts {
		if t == e.promptHash {
			return ClaimReply{
				Bytes: e.kv.Bytes, Tokens: e.kv.PromptTokens, Cached: e.kv.CachedTokens,
				Computed: e.computed, TTL: e.expires.Sub(c.now),
			}, nil
		}
	}
	return ClaimReply{}, fmt.Errorf("%w: KV handle %q belongs to another prompt", engine.ErrInvalid, cl.Handle)
}

// Complete drops a KV cache whose transfer is complete.
func (c *Core) Complete(handle string) error {
	e := c.exports[handle]
	if e == nil {
		return fmt.Errorf("%w: KV handle %q", engine.ErrNotFound, handle)
	}
	c.counters.PrefillUsed += e.computed
	c.dropExport(e)
	return nil
}
