package proofs

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/invariant"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	standin "github.com/hibiscusspur/hibiscusspur/standin/engine"
)

// settleBound is how long the system may take to become idle and to apply the newest revision after the last
// fault.
const settleBound = 10 * time.Second

// configKey is the key of the whole configuration in the events.
const configKey = "configuration"

// scanInterval is the interval between two scans of the engines' states and the processes' revisions.
const scanInterval = 50 * time.Millisecond

// observer records events of callers, engines and processes for the invariant checker.
type observer struct {
	c       *cluster
	rec     *invariant.Recorder
	stopped atomic.Bool
	wg      sync.WaitGroup
	changes int
	// changing serializes configuration changes.
	changing sync.Mutex

	mu sync.Mutex
	// scans counts the completed scans of all engines.
	scans int
	// latestRequest is the last request sent with a prompt, by the prompt's hash.
	latestRequest map[uint64]string
	startedRuns   map[string]int // runs counted so far, by engine, its pid and prompt hash
	outcomes      map[string]int
}

func newObserver(c *cluster) *observer {
	w := &observer{
		c: c, rec: invariant.NewRecorder(), latestRequest: make(map[uint64]string),
		startedRuns: make(map[string]int), outcomes: make(map[string]int),
	}
	w.wg.Go(func() {
		for !w.stopped.Load() {
			for _, b := range c.backends {
				w.scan(b)
			}
			w.recordRevisions()
			w.mu.Lock()
			w.scans++
			w.mu.Unlock()
			time.Sleep(scanInterval)
		}
	})
	return w
}

// scan records the runs that an engine has started since the last scan.
func (w *observer) scan(b *backend) {
	pid := b.engine.pid()
	s, err := b.state()
	if err != nil || pid != b.engine.pid() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for hash, n := range s.BegunPrompts {
		at := fmt.Sprintf("%s/%d/%d", b.id, pid, hash)
		for ; w.startedRuns[at] < n; w.startedRuns[at]++ {
			w.rec.Add(invariant.Event{Kind: invariant.RunStarted, Request: w.latestRequest[hash], Node: b.id})
		}
	}
}

// recordRevisions records the revision in force at each process.
func (w *observer) recordRevisions() {
	for _, e := range w.c.entries {
		w.recordRevision(e.proc, e.adminURL)
	}
	for _, b := range w.c.backends {
		w.recordRevision(b.sidecar, b.adminURL)
	}
}

func (w *observer) recordRevision(p *process, admin string) {
	pid := p.pid()
	rev := revisionAt(admin)
	if rev == 0 || pid != p.pid() {
		return
	}
	// Lag is checked once the system is idle; here a process's revision must only never decrease.
	w.rec.Add(invariant.Event{Kind: invariant.RevisionUsed, Request: "", Node: fmt.Sprintf("%s/%d", p.name, pid), Key: "in force", Revision: rev})
}

func revisionAt(admin string) uint64 {
	var m map[string]struct {
		Value float64 `json:"value"`
	}
	if getJSON(admin+"/metrics", &m) != nil {
		return 0
	}
	return uint64(m[metrics.ConfigRevision].Value)
}

// startCallers starts n callers, which run until the observer is stopped.
func (w *observer) startCallers(n int, seed uint64) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range n {
		rng := mathrand.New(mathrand.NewPCG(seed, uint64(i)+1))
		wg.Go(func() {
			for k := 0; !w.stopped.Load(); k++ {
				w.sendRandom(rng, fmt.Sprintf("%d-%d", i, k))
			}
		})
	}
	return &wg
}

// sendRandom sends one request of a random kind. An unrepeatable request that has a key is sent again through
// another entry until its outcome is known.
func (w *observer) sendRandom(rng *mathrand.Rand, name string) {
	q := modelRequest{model: repeatable, prompt: promptForTokens(5+rng.IntN(80), rng.IntN(200), name), stream: rng.IntN(2) == 0}
	sends, leaveAfter := 1, 0
	switch rng.IntN(4) {
	case 0:
		q.model = unrepeatable
	case 1:
		q.model, q.key, sends = unrepeatable, "key "+name, 2+rng.IntN(2)
	case 2:
		leaveAfter = 1 + rng.IntN(20)
	}
	e := rng.IntN(len(w.c.entries))
	for i := range sends {
		if w.send(w.c.entries[(e+i)%len(w.c.entries)], q, fmt.Sprintf("%s/%d", name, i), leaveAfter) {
			return
		}
		w.awaitNextScan()
	}
}

// awaitNextScan waits until all engines have been scanned once more, so that earlier runs are not attributed
// to the next request.
func (w *observer) awaitNextScan() {
	scans := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.scans
	}
	for from := scans(); scans() < from+2 && !w.stopped.Load(); {
		time.Sleep(pollInterval)
	}
}

// send sends one request and records it; it reports whether the caller needs no repetition.
func (w *observer) send(e *entry, q modelRequest, request string, leaveAfter int) bool {
	w.mu.Lock()
	w.latestRequest[standin.PromptHash(q.model, q.prompt)] = request
	w.mu.Unlock()
	event := invariant.Event{Request: request, Node: e.id, Key: q.key}
	sentEvent := event
	sentEvent.Kind, sentEvent.Want, sentEvent.Unrepeatable = invariant.RequestSent, q.expectedAnswer(), q.model == unrepeatable
	w.rec.Add(sentEvent)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	q.onToken = func(n int) {
		if n == leaveAfter {
			cancel()
		}
	}
	a := e.do(ctx, q)
	if !strings.HasPrefix(q.expectedAnswer(), a.text) || a.whole && a.outcome != "" {
		w.c.t.Errorf("%s: not a prefix of its expected answer, or both whole and an error: %v %q", request, a, a.text)
	}
	return w.recordEnd(event, a, ctx.Err() != nil)
}

func (w *observer) recordEnd(event invariant.Event, a answer, callerLeft bool) bool {
	name := a.outcome
	switch {
	case callerLeft:
		event.Kind, name = invariant.CallerGone, "left"
	case a.whole:
		event.Kind, event.Outcome, event.Text, name = invariant.ResponseReceived, outcome.Completed, a.text, "completed"
	case a.outcome != "":
		event.Kind, event.Outcome = invariant.ResponseReceived, outcomeKinds[a.outcome]
	default:
		event.Kind, name = invariant.ConnectionLost, "cut"
	}
	w.rec.Add(event)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[name]++
	return a.whole || callerLeft
}

var outcomeKinds = map[string]outcome.Kind{"not_run": outcome.NotRun, "failed": outcome.Failed, "unknown": outcome.Unknown}

func (w *observer) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%v of requests, %d runs seen, %d changes", w.outcomes, len(w.startedRuns), w.changes)
}

func (w *observer) stop() { w.stopped.Store(true) }

// awaitIdle waits until the engines hold nothing and every process has applied the newest revision.
func (w *observer) awaitIdle(bound time.Duration) time.Duration {
	w.wg.Wait()
	took := eventually(w.c.t, bound, "engines idle", func() bool { return w.c.heldCount() == 0 && w.c.enginesReachable() })
	took += eventually(w.c.t, bound, "newest revision everywhere", func() bool {
		for _, e := range w.c.entries {
			if revisionAt(e.adminURL) != w.c.head {
				return false
			}
		}
		for _, b := range w.c.backends {
			if revisionAt(b.adminURL) != w.c.head {
				return false
			}
		}
		return true
	})
	for _, b := range w.c.backends {
		w.scan(b)
	}
	return took
}

// tryChange commits once. A conflict means that an earlier attempt was committed although its answer was
// lost, and counts as success.
func (w *observer) tryChange(change map[string]dissemination.Change) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleBound)
	defer cancel()
	writer := dissemination.NewWriter(w.c.table, rand.Text, time.Now)
	rev, err := writer.Commit(ctx, "chaos", w.c.head, change)
	var conflict *dissemination.ConflictError
	if errors.As(err, &conflict) {
		return w.c.head + 1, nil
	}
	return rev, err
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

func deleteAt(url string) error {
	req, err := http.NewRequest(http.MethodDelete, url, nil)
	if err != nil {
		return err
	}
	res, err := control.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}
