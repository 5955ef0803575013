package invariant

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// Point is one of the system's invariants.
type Point uint8

// The invariants, numbered as in the reports.
const (
	MemoryFreed Point = iota + 1
	AnsweredOnce
	WholeAnswer
	NotRunIsTrue
	RunsOnce
	LeavingGetsNothing
	ShutdownCutsNothing
	NewestRevision
	OneVersion
)

var pointNames = map[Point]string{
	MemoryFreed:         "memory freed",
	AnsweredOnce:        "answered once",
	WholeAnswer:         "whole answer",
	NotRunIsTrue:        "not run is true",
	RunsOnce:            "runs at most once",
	LeavingGetsNothing:  "leaving gets nothing",
	ShutdownCutsNothing: "shutdown cuts nothing",
	NewestRevision:      "newest revision",
	OneVersion:          "one version",
}

// String returns the number and the name of p.
func (p Point) String() string { return fmt.Sprintf("%d %s", uint8(p), pointNames[p]) }

// Violation is one observed violation of an invariant.
type Violation struct {
	Point   Point
	At      time.Duration
	Request string
	Node    string
	Detail  string
}

func (b Violation) String() string {
	return fmt.Sprintf("%v at %v request=%q node=%q: %s", b.Point, b.At.Round(time.Millisecond), b.Request, b.Node, b.Detail)
}

// Bounds are the delays within which an event must have taken effect.
type Bounds struct {
	// Memory is how long an engine may hold memory after the caller disconnected or got its answer.
	Memory time.Duration
	// Leaving is how long a leaving backend server may still accept new work.
	Leaving time.Duration
	// Revision is how long a process may still decide under an older revision once a newer one is committed.
	Revision time.Duration
}

// DefaultBounds returns the bounds that the system guarantees.
func DefaultBounds() Bounds {
	return Bounds{Memory: 3 * time.Second, Leaving: 3 * time.Second, Revision: 3 * time.Second}
}

// Check returns every violation in events, which must be ordered by time.
func Check(events []Event, b Bounds) []Violation {
	c := newChecker(b)
	for _, e := range events {
		c.apply(e)
	}
	c.finish()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return int(a.At - b.At) })
	return c.violations
}

// requestState is the state of one request, built from its events.
type requestState struct {
	sent           Event
	firstEnd       time.Duration
	ended          bool
	answers        int
	answer         Event
	connectionLost bool
	responseEnd    time.Duration
	runs           []Event
	continuations  []Event
	tokens         int
	streamedText   strings.Builder
	// version is that of the engine whose events the caller received first.
	version string
}

type checker struct {
	bounds     Bounds
	requests   map[string]*requestState
	order      []string
	leaving    map[string]time.Duration
	draining   map[string]time.Duration
	faults     map[string][]time.Duration
	committed  map[string][]Event
	inUse      map[[2]string]uint64
	violations []Violation
}

func newChecker(b Bounds) *checker {
	return &checker{
		bounds:    b,
		requests:  make(map[string]*requestState),
		leaving:   make(map[string]time.Duration),
		draining:  make(map[string]time.Duration),
		faults:    make(map[string][]time.Duration),
		committed: make(map[string][]Event),
		inUse:     make(map[[2]string]uint64),
	}
}

func (c *checker) report(p Point, e Event, format string, args ...any) {
	c.violations = append(c.violations, Violation{Point: p, At: e.At, Request: e.Request, Node: e.Node, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) request(id string) *requestState {
	r := c.requests[id]
	if r == nil {
		r = &requestState{}
		c.requests[id] = r
		c.order = append(c.order, id)
	}
	return r
}

func (c *checker) apply(e Event) {
	switch e.Kind {
	case RequestSent:
		c.request(e.Request).sent = e
	case Token:
		c.token(e)
	case EventsReceived:
		c.eventsReceived(e)
	case ResponseReceived, ConnectionLost, CallerGone:
		c.requestEnded(e)
	case WorkAccepted:
		c.workAccepted(e)
	case RunStarted:
		r := c.request(e.Request)
		r.runs = append(r.runs, e)
	case RunContinued:
		c.runContinued(e)
	case MemoryHeld:
		c.memoryHeld(e)
	case Leaving:
		recordFirst(c.leaving, e)
	case Draining:
		recordFirst(c.draining, e)
	case Fault:
		c.faults[e.Node] = append(c.faults[e.Node], e.At)
	case RevisionCommitted:
		c.committed[e.Key] = append(c.committed[e.Key], e)
	case RevisionUsed:
		c.revisionUsed(e)
	}
}

func recordFirst(m map[string]time.Duration, e Event) {
	if _, ok := m[e.Node]; !ok {
		m[e.Node] = e.At
	}
}

func (c *checker) token(e Event) {
	r := c.request(e.Request)
	if r.answers > 0 {
		c.report(AnsweredOnce, e, "token %d after the end of the answer", e.Position)
	}
	if e.Position != r.tokens {
		c.report(WholeAnswer, e, "token at position %d, expected %d", e.Position, r.tokens)
	}
	r.tokens++
	r.streamedText.WriteString(e.Text)
}

// eventsReceived requires that all events of a stream come from engines of one software version.
func (c *checker) eventsReceived(e Event) {
	r := c.request(e.Request)
	if r.version == "" {
		r.version = e.Version
	}
	if r.version != e.Version {
		c.report(OneVersion, e, "began at version %q, events of version %q", r.version, e.Version)
	}
}

func (c *checker) requestEnded(e Event) {
	r := c.request(e.Request)
	if !r.ended {
		r.ended, r.firstEnd = true, e.At
	}
	if e.Kind == CallerGone {
		return
	}
	r.responseEnd = e.At
	if e.Kind == ConnectionLost {
		r.connectionLost = true
		return
	}
	r.answers++
	r.answer = e
	if r.answers > 1 {
		c.report(AnsweredOnce, e, "answer number %d", r.answers)
	}
	if e.Outcome == outcome.Completed {
		c.checkAnswer(r, e)
	}
}

func (c *checker) checkAnswer(r *requestState, e Event) {
	if r.sent.Kind != RequestSent {
		c.report(WholeAnswer, e, "answer to a request that this caller did not send")
	}
	if r.sent.Want != "" && e.Text != r.sent.Want {
		c.report(WholeAnswer, e, "answer differs from the expected one (%d and %d bytes)", len(e.Text), len(r.sent.Want))
	}
	if r.tokens > 0 && r.streamedText.String() != e.Text {
		c.report(WholeAnswer, e, "streamed tokens differ from the answer")
	}
}

func (c *checker) workAccepted(e Event) {
	if since, ok := c.leaving[e.Node]; ok && e.At-since > c.bounds.Leaving {
		c.report(LeavingGetsNothing, e, "accepted new work %v after it was told to leave", e.At-since)
	}
}

// runContinued requires that there is a run to continue.
func (c *checker) runContinued(e Event) {
	r := c.request(e.Request)
	if len(r.runs) == 0 {
		c.report(RunsOnce, e, "continued, but never run")
	}
	r.continuations = append(r.continuations, e)
}

func (c *checker) memoryHeld(e Event) {
	r, ok := c.requests[e.Request]
	if ok && r.ended && e.At-r.firstEnd > c.bounds.Memory {
		c.report(MemoryFreed, e, "memory held %v after the caller disconnected or got its answer", e.At-r.firstEnd)
	}
}

// revisionUsed requires that the revisions a process uses never decrease, and that no process uses a revision
// older than one that was committed longer ago than the bound.
func (c *checker) revisionUsed(e Event) {
	at := [2]string{e.Node, e.Key}
	if last := c.inUse[at]; e.Revision < last {
		c.report(NewestRevision, e, "decided under revision %d after %d", e.Revision, last)
	}
	c.inUse[at] = max(c.inUse[at], e.Revision)
	for _, a := range c.committed[e.Key] {
		if a.Revision > e.Revision && e.At-a.At > c.bounds.Revision {
			c.report(NewestRevision, e, "decided under revision %d, %v after %d was accepted", e.Revision, e.At-a.At, a.Revision)
			return
		}
	}
}

// finish runs the checks that need all events of a run.
func (c *checker) finish() {
	byKey := make(map[string][]Event)
	for _, id := range c.order {
		r := c.requests[id]
		if r.answers > 0 && r.answer.Outcome == outcome.NotRun && len(r.runs) > 0 {
			c.report(NotRunIsTrue, r.answer, "reported as not run, but run %d times, on %s", len(r.runs), r.runs[0].Node)
		}
		if r.sent.Unrepeatable {
			key := r.sent.Key
			if key == "" {
				key = "request " + id
			}
			byKey[key] = append(byKey[key], r.runs...)
		}
		c.checkShutdown(r)
	}
	for key, runs := range byKey {
		if len(runs) > 1 {
			c.report(RunsOnce, runs[1], "%d runs for %s", len(runs), key)
		}
	}
}

// checkShutdown reports a request that was in progress when a process on its path was asked to shut down, and
// that was cut off, failed or ended as unknown, unless a fault of a process on its path explains it.
func (c *checker) checkShutdown(r *requestState) {
	failed := r.connectionLost || r.answers > 0 && (r.answer.Outcome == outcome.Failed || r.answer.Outcome == outcome.Unknown)
	if !failed {
		return
	}
	nodes := []string{r.sent.Node}
	for _, b := range slices.Concat(r.runs, r.continuations) {
		nodes = append(nodes, b.Node)
	}
	if slices.ContainsFunc(nodes, func(n string) bool { return c.hadFault(n, r.sent.At, r.responseEnd) }) {
		return
	}
	for _, n := range nodes {
		if since, ok := c.draining[n]; ok && since >= r.sent.At && since <= r.responseEnd {
			c.report(ShutdownCutsNothing, Event{At: r.responseEnd, Request: r.sent.Request, Node: n}, "request in progress was not completed")
			return
		}
	}
}

func (c *checker) hadFault(node string, from, to time.Duration) bool {
	return slices.ContainsFunc(c.faults[node], func(at time.Duration) bool { return at >= from && at <= to })
}
