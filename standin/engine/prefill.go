package engine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

// prefillJob is one prefill: for export, or for a run that decodes on this engine.
type prefillJob struct {
	id       string
	owner    string
	run      *run
	model    string
	text     string
	tokens   int
	cached   int
	priority int
	// done is closed once kv and err are set; nil for the job of a run.
	done chan struct{}
	kv   engine.KV
	err  error
}

func (j *prefillJob) end(kv engine.KV, err error) {
	j.kv, j.err = kv, err
	if j.done != nil {
		close(j.done)
	}
}

// export is a KV cache retained for another engine.
type export struct {
	kv         engine.KV
	runID      string
	promptHash uint64
	computed   int
	expires    time.Time
}

// Prefill queues a prefill for export. It returns ErrInvalid, ErrExists or ErrFull.
func (c *Core) Prefill(req engine.PrefillRequest) (*prefillJob, error) {
	switch {
	case req.RunID == "":
		return nil, fmt.Errorf("%w: run id", engine.ErrInvalid)
	case c.cfg.Role == engine.RoleDecode:
		return nil, fmt.Errorf("%w: a decode engine does not prefill for export", engine.ErrInvalid)
	case !c.serves(req.Model):
		return nil, fmt.Errorf("%w: model %q is not loaded", engine.ErrInvalid, req.Model)
	case c.prefills[req.RunID] != nil:
		return nil, engine.ErrExists
	case len(c.prefillQueue) >= c.cfg.MaxWaiting:
		return nil, engine.ErrFull
	}
	j := &prefillJob{
		id: req.RunID, owner: req.Owner, model: req.Model, text: req.Prompt, priority: req.Priority,
		tokens: engine.EstimateTokens(req.Prompt), done: make(chan struct{}),
	}
	c.prefills[j.id] = j
	c.enqueue(j)
	c.dispatch()
	return j, nil
}

func (c *Core) enqueue(j *prefillJob) {
	c.prefillQueue = append(c.prefillQueue, j)
	slices.SortStableFunc(c.prefillQueue, func(a, b *prefillJob) int { return cmp.Compare(b.priority, a.priority) })
}

// startPrefill starts the first job of the queue. A cached prefix takes no time,
// but the last token of a prompt is always computed.
func (c *Core) startPrefill() {
	j := c.prefillQueue[0]
	c.prefillQueue = c.prefillQueue[1:]
	c.activePrefill = j
	j.cached = min(c.cache.lookup(j.model, j.text), max(j.tokens-1, 0))
	c.occupy(c.prefillTime(j.tokens - j.cached))
}

func (c *Core) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / c.cfg.PrefillRate * float64(time.Second))
}

func (c *Core) finishPrefill() {
	j := c.activePrefill
	c.activePrefill = nil
	c.counters.PrefillDone += j.tokens - j.cached
	c.counters.PrefillCached += j.cached
	c.cache.insert(c.now, j.model, j.text)
	if j.run != nil {
		j.run.cached = j.cached
		j.run.computed = j.tokens - j.cached
		c.startDecode(j.run)
		return
	}
	delete(c.prefills, j.id)
	j.end(c.addExport(j), nil)
}

func (c *Core) addExport(j *prefillJob) engine.KV {
	c.nextID++
	kv := engine.KV{
		Handle: c.cfg.ID + "-kv-" + strconv.FormatUint(c.nextID, 10), Owner: j.owner, Source: c.cfg.Source,
		Bytes: int64(j.tokens) * c.cfg.KVBytesPerToken, PromptTokens: j.tokens, CachedTokens: j.cached, TTL: c.cfg.KVTTL,
	}
	e := &export{
		kv: kv, runID: j.id, promptHash: textHash(j.model, j.text), computed: j.tokens - j.cached,
		expires: c.now.Add(c.cfg.KVTTL),
	}
	c.exports[kv.Handle] = e
	c.expiry = append(c.expiry, e)
	return kv
}

// dropJob removes the queued or active job that match selects. The tokens that an
// active job has computed count as discarded.
func (c *Core) dropJob(match func(*prefillJob) bool) {
	if j := c.activePrefill; j != nil && match(j) {
		c.abandonActive(j)
		return
	}
	if i := slices.IndexFunc(c.prefillQueue, match); i >= 0 {
		j := c.prefillQueue[i]
		c.prefillQueue = slices.Delete(c.prefillQueue, i, i+1)
		if j.run == nil {
			delete(c.prefills, j.id)
		}
	}
}

func (c *Core) abandonActive(j *prefillJob) {
	fraction := 1.0
	if duration := c.busyUntil.Sub(c.workBegan); duration > 0 {
		fraction = float64(c.now.Sub(c.workBegan)) / float64(duration)
	}
	computed := int(fraction * float64(j.tokens-j.cached))
	c.counters.PrefillDone += computed
	c.counters.PrefillDiscarded += computed
	c.activePrefill = nil
	c.busy = false
	if j.run == nil {
		delete(c.prefills, j.id)
	}
}

// Exports lists the exported KV caches, each with its remaining time to live.
func (c *Core) Exports() []engine.KV {
	out := make([]engine.KV, 0, len(c.exports))
	for _, e := range c.exportList() {
		kv := e.kv
		kv.TTL = e.expires.Sub(c.now)
		out = append(out, kv)
	}
	return out
}

func (c *Core) exportList() []*export {
	return slices.SortedFunc(maps.Values(c.exports), func(a, b *export) int { return cmp.Compare(a.kv.Handle, b.kv.Handle) })
}

// ReleaseKV drops an unused exported KV cache.
func (c *Core) ReleaseKV(handle string) {
	if e := c.exports[handle]; e != nil {
		c.counters.PrefillReleased += e.computed
		c.dropExport(e)
	}
}

func (c *Core) dropExport(e *export) {
	delete(c.exports, e.kv.Handle)
	c.expiry = without(c.expiry, e)
}
