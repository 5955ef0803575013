package forward

import (
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/runcopy"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// runCopy is a copy of a run's KV cache at another engine. The memory pool counts it like the run itself until it is
// used or dropped.
type runCopy struct {
	server registry.Server
	// sent is set once an engine was sent the run with this engine as its backup.
	sent bool
}

// chooseBackup returns the engine that backs the run of the attempt up; nil if none does. attemptsLeft is the number of
// attempts that the route allows after this one.
func (a *streamAttempt) chooseBackup(attemptsLeft int) *runCopy {
	f, j, r := a.r.f, a.r.j, a.r
	spec := j.table.Services[j.service].Engine
	if !spec.Backups || f.Off.Has(mechanism.Backups) {
		return nil
	}
	e := f.service(j.service).engines
	b := runcopy.Backup{
		Resumable: j.route.Resumable, AttemptsLeft: attemptsLeft,
		MemoryShort: e.waiting(), Remaining: e.remaining(r.run, j.generated),
	}
	if !b.Wanted() {
		return nil
	}
	c := r.placeCopy(a.lease.server, true)
	if c != nil {
		f.Metrics.Counter(metrics.BackupsStarted).Inc(1)
	}
	return c
}

// placeCopy takes memory in the pool for a copy of the run that the engine source executes; nil if no other engine has
// enough. With late set the engine must keep memory free beside the copy, as for late requests, so that copies don't
// displace requests.
func (r *stream) placeCopy(source registry.Server, late bool) *runCopy {
	f, j := r.f, r.j
	spec := j.table.Services[j.service].Engine
	e := f.service(j.service).engines
	exclude := append(slices.Clone(r.tried), source.ID)
	id, ok := e.placeCopy(kvmemory.Request{
		Run: r.run, Late: late, Zone: source.Zone, Exclude: exclude, Verdicts: e.verdicts, Deadline: j.deadline, Delay: moveDelay,
		Version: source.Version,
	}, spec.KVTokens, spec.Slots)
	if !ok {
		return nil
	}
	s, ok := findServer(f.View.Servers(j.service), id)
	if !ok {
		e.releaseCopy(id, r.run)
		return nil
	}
	return &runCopy{server: s}
}

// markBackupSent records whether an engine may have started to back the run up.
func (a *streamAttempt) markBackupSent(sent bool) {
	if a.backup != nil {
		a.backup.sent = sent
	}
}

// dropCopy returns the memory of a copy that is not used to the pool. The engine frees the copy by itself when the run
// has ended.
func (r *stream) dropCopy(c *runCopy) {
	if c != nil {
		r.f.service(r.j.service).engines.releaseCopy(c.server.ID, r.run)
	}
}

// waiting reports whether a request waits for memory.
func (e *engines) waiting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue.Len() > 0
}

// placeCopy chooses an engine for a copy of a run and takes memory for it, until release is called.
func (e *engines) placeCopy(r kvmemory.Request, capacity, slots int) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sync(e.list(), capacity, slots)
	id, ok := e.memory.Pick(r, time.Now())
	if ok {
		e.memory.PlaceCopy(id, r.Run)
		e.copied += r.Run.Need
		e.markChanged(id)
	}
	return id, ok
}

// releaseCopy records that a copy of a run is not used. Its customer still holds the memory of the run itself.
func (e *engines) releaseCopy(id string, r *kvmemory.Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copied -= r.Need
	e.memory.Release(id, r, time.Now())
	e.markChanged(id)
	e.dispatch()
}

// continueAt records that a run has left the engine of a lease and goes on at the engine with a copy of it. Its customer
// holds the memory there.
func (e *engines) continueAt(id string, old *lease) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.copied -= old.run.Need
	if old.refused {
		e.memory.Failed(old.server.ID, old.run, now)
	} else {
		e.memory.Release(old.server.ID, old.run, now)
	}
	e.memory.Continue(id, old.run)
	e.markChanged(old.server.ID)
	e.dispatch()
}

// copyShare is the share of copies in the memory that this process placed, in [0, 1]. It stands for that of all
// processes. Copies are no demand: counted as such they would turn prefill engines into decode engines. The caller holds
// mu.
func (e *engines) copyShare() float64 {
	placed := 0
	for _, s := range e.memory.OwnLoads(time.Now()) {
		placed += s.Tokens
	}
	if placed == 0 {
		return 0
	}
	return min(float64(e.copied)/float64(placed), 1)
}

// remaining is the expected time until a run that has generated this many tokens ends.
func (e *engines) remaining(r *kvmemory.Run, generated int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := r.Need - r.Prompt
	if r.Length != nil {
		r.Length.Progress(generated)
		total = r.Length.Median()
	}
	return bounded.Seconds(float64(max(total-generated, 0)) / e.memory.TokensPerSecond())
}

// endsWithin is the probability that a run that has generated this many tokens ends within d.
func (e *engines) endsWithin(r *kvmemory.Run, generated int, d time.Duration) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := float64(generated) + e.memory.TokensPerSecond()*d.Seconds()
	if r.Length == nil {
		if tokens >= float64(r.Need-r.Prompt) {
			return 1
		}
		return 0
	}
	r.Length.Progress(generated)
	return 1 - r.Length.Survival(tokens)
}
