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

// quiet is how long the system may take to be at rest and up to date after faults.
const quiet = 10 * time.Second

// configKey stands for the whole configuration in the events.
const configKey = "configuration"

// lookEvery is how often the books of engines and the revisions are read.
const lookEvery = 50 * time.Millisecond

// watch records what callers, engines and processes show.
type watch struct {
	c       *cluster
	rec     *invariant.Recorder
	ended   atomic.Bool
	wg      sync.WaitGroup
	changes int
	// changing is held by one change at a time.
	changing sync.Mutex

	mu sync.Mutex
	// looks counts the rounds of reading all engines.
	looks int
	// latest is the request last sent for a prompt.
	latest map[uint64]string
	seen   map[string]int // begun runs counted, by engine, its generation and prompt
	ends   map[string]int
}

func newWatch(c *cluster) *watch {
	w := &watch{
		c: c, rec: invariant.NewRecorder(), latest: make(map[uint64]string),
		seen: make(map[string]int), ends: make(map[string]int),
	}
	w.wg.Go(func() {
		for !w.ended.Load() {
			for _, b := range c.backends {
				w.look(b)
			}
			w.revisions()
			w.mu.Lock()
			w.looks++
			w.mu.Unlock()
			time.Sleep(lookEvery)
		}
	})
	return w
}

// look records the runs that an engine has begun since the last look.
func (w *watch) look(b *backend) {
	pid := b.engine.pid()
	s, err := b.state()
	if err != nil || pid != b.engine.pid() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for hash, n := range s.BegunPrompts {
		at := fmt.Sprintf("%s/%d/%d", b.id, pid, hash)
		for ; w.seen[at] < n; w.seen[at]++ {
			w.rec.Add(invariant.Event{Kind: invariant.RunStarted, Request: w.latest[hash], Node: b.id})
		}
	}
}

// revisions records which revision each process has in force.
func (w *watch) revisions() {
	for _, e := range w.c.entries {
		w.revision(e.proc, e.adminURL)
	}
	for _, b := range w.c.backends {
		w.revision(b.sidecar, b.adminURL)
	}
}

func (w *watch) revision(p *process, admin string) {
	pid := p.pid()
	rev := revisionAt(admin)
	if rev == 0 || pid != p.pid() {
		return
	}
	// Lag is judged at rest; here a revision must only never fall.
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

// startCallers begins n callers; they end when the watch is stopped.
func (w *watch) startCallers(n int, seed uint64) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range n {
		rng := mathrand.New(mathrand.NewPCG(seed, uint64(i)+1))
		wg.Go(func() {
			for k := 0; !w.ended.Load(); k++ {
				w.ask(rng, fmt.Sprintf("%d-%d", i, k))
			}
		})
	}
	return &wg
}

// ask sends one request of a random kind; an unrepeatable one that has a key is
// sent again through another entry until its end is known.
func (w *watch) ask(rng *mathrand.Rand, name string) {
	q := ask{model: repeatable, prompt: length(5+rng.IntN(80), rng.IntN(200), name), stream: rng.IntN(2) == 0}
	sends, leave := 1, 0
	switch rng.IntN(4) {
	case 0:
		q.model = unrepeatable
	case 1:
		q.model, q.key, sends = unrepeatable, "key "+name, 2+rng.IntN(2)
	case 2:
		leave = 1 + rng.IntN(20)
	}
	e := rng.IntN(len(w.c.entries))
	for i := range sends {
		if w.send(w.c.entries[(e+i)%len(w.c.entries)], q, fmt.Sprintf("%s/%d", name, i), leave) {
			return
		}
		w.nextLook()
	}
}

// nextLook waits until all engines have been read once more, so that runs begun
// before are not taken for those of the next request.
func (w *watch) nextLook() {
	looks := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.looks
	}
	for from := looks(); looks() < from+2 && !w.ended.Load(); {
		time.Sleep(pollEvery)
	}
}

// send asks once and records it; it reports whether the caller is content.
func (w *watch) send(e *entry, q ask, request string, leave int) bool {
	w.mu.Lock()
	w.latest[standin.PromptHash(q.model, q.prompt)] = request
	w.mu.Unlock()
	event := invariant.Event{Request: request, Node: e.id, Key: q.key}
	asked := event
	asked.Kind, asked.Want, asked.Unrepeatable = invariant.RequestSent, q.want(), q.model == unrepeatable
	w.rec.Add(asked)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	q.onToken = func(n int) {
		if n == leave {
			cancel()
		}
	}
	a := e.do(ctx, q)
	if !strings.HasPrefix(q.want(), a.text) || a.whole && a.outcome != "" {
		w.c.t.Errorf("%s: not the beginning of its own answer, or whole and an error: %v %q", request, a, a.text)
	}
	return w.end(event, a, ctx.Err() != nil)
}

func (w *watch) end(event invariant.Event, a answer, left bool) bool {
	name := a.outcome
	switch {
	case left:
		event.Kind, name = invariant.CallerGone, "left"
	case a.whole:
		event.Kind, event.Outcome, event.Text, name = invariant.ResponseReceived, outcome.Completed, a.text, "completed"
	case a.outcome != "":
		event.Kind, event.Outcome = invariant.ResponseReceived, kinds[a.outcome]
	default:
		event.Kind, name = invariant.ConnectionLost, "cut"
	}
	w.rec.Add(event)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[name]++
	return a.whole || left
}

var kinds = map[string]outcome.Kind{"not_run": outcome.NotRun, "failed": outcome.Failed, "unknown": outcome.Unknown}

func (w *watch) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%v of requests, %d runs seen, %d changes", w.ends, len(w.seen), w.changes)
}

func (w *watch) stop() { w.ended.Store(true) }

// rest waits until the engines hold nothing and every process is at the head.
func (w *watch) rest(bound time.Duration) time.Duration {
	w.wg.Wait()
	took := eventually(w.c.t, bound, "engines at rest", func() bool { return w.c.held() == 0 && w.c.enginesAnswer() })
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
		w.look(b)
	}
	return took
}

// tryChange commits once; a change that was overtaken by its own lost answer counts.
func (w *watch) tryChange(change map[string]dissemination.Change) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), quiet)
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
