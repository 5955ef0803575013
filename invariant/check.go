package invariant

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// Point is one of the things that must always hold.
type Point uint8

// The points, in the order in which they are stated.
const (
	MemoryFreed Point = iota + 1
	AnsweredOnce
	WholeAnswer
	NotRunIsTrue
	RunsOnce
	LeavingGetsNothing
	ShutdownCutsNothing
	NewestRevision
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
}

// String returns the number and the name of p.
func (p Point) String() string { return fmt.Sprintf("%d %s", uint8(p), pointNames[p]) }

// Violation is one violation.
type Violation struct {
	Point   Point
	At      time.Duration
	Request string
	Node    string
	Detail  string
}

// String is for reports.
func (b Violation) String() string {
	return fmt.Sprintf("%v at %v request=%q node=%q: %s", b.Point, b.At.Round(time.Millisecond), b.Request, b.Node, b.Detail)
}

// Bounds are the times within which something must have taken effect.
type Bounds struct {
	// Memory is how long an engine may hold memory after its caller is gone or answered.
	Memory time.Duration
	// Leaving is how long a leaving backend server may still take new work.
	Leaving time.Duration
	// Revision is how long an older revision may still be decided under.
	Revision time.Duration
}

// DefaultBounds returns the bounds that the system promises.
func DefaultBounds() Bounds {
	return Bounds{Memory: 3 * time.Second, Leaving: 3 * time.Second, Revision: 3 * time.Second}
}

// Check returns every breach in events, which must be in order of time.
func Check(events []Event, b Bounds) []Violation {
	c := newChecker(b)
	for _, e := range events {
		c.take(e)
	}
	c.finish()
	slices.SortStableFunc(c.breaches, func(a, b Violation) int { return int(a.At - b.At) })
	return c.breaches
}

// requestState is what the checker knows of one request.
type requestState struct {
	asked    Event
	over     time.Duration
	isOver   bool
	answers  int
	answer   Event
	cut      bool
	endedAt  time.Duration
	begun    []Event
	tokens   int
	streamed strings.Builder
}

type checker struct {
	bounds   Bounds
	requests map[string]*requestState
	order    []string
	leaving  map[string]time.Duration
	draining map[string]time.Duration
	faults   map[string][]time.Duration
	accepted map[string][]Event
	decided  map[[2]string]uint64
	breaches []Violation
}

func newChecker(b Bounds) *checker {
	return &checker{
		bounds:   b,
		requests: make(map[string]*requestState),
		leaving:  make(map[string]time.Duration),
		draining: make(map[string]time.Duration),
		faults:   make(map[string][]time.Duration),
		accepted: make(map[string][]Event),
		decided:  make(map[[2]string]uint64),
	}
}

func (c *checker) breach(p Point, e Event, format string, args ...any) {
	c.breaches = append(c.breaches, Violation{Point: p, At: e.At, Request: e.Request, Node: e.Node, Detail: fmt.Sprintf(format, args...)})
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

func (c *checker) take(e Event) {
	switch e.Kind {
	case RequestSent:
		c.request(e.Request).asked = e
	case Token:
		c.token(e)
	case ResponseReceived, ConnectionLost, CallerGone:
		c.end(e)
	case WorkAccepted:
		c.granted(e)
	case RunStarted:
		r := c.request(e.Request)
		r.begun = append(r.begun, e)
	case MemoryHeld:
		c.listed(e)
	case Leaving:
		first(c.leaving, e)
	case Draining:
		first(c.draining, e)
	case Fault:
		c.faults[e.Node] = append(c.faults[e.Node], e.At)
	case RevisionCommitted:
		c.accepted[e.Key] = append(c.accepted[e.Key], e)
	case RevisionUsed:
		c.decide(e)
	}
}

func first(m map[string]time.Duration, e Event) {
	if _, ok := m[e.Node]; !ok {
		m[e.Node] = e.At
	}
}

func (c *checker) token(e Event) {
	r := c.request(e.Request)
	if r.answers > 0 {
		c.breach(AnsweredOnce, e, "token %d after the end of the answer", e.Position)
	}
	if e.Position != r.tokens {
		c.breach(WholeAnswer, e, "token at position %d, expected %d", e.Position, r.tokens)
	}
	r.tokens++
	r.streamed.WriteString(e.Text)
}

func (c *checker) end(e Event) {
	r := c.request(e.Request)
	if !r.isOver {
		r.isOver, r.over = true, e.At
	}
	if e.Kind == CallerGone {
		return
	}
	r.endedAt = e.At
	if e.Kind == ConnectionLost {
		r.cut = true
		return
	}
	r.answers++
	r.answer = e
	if r.answers > 1 {
		c.breach(AnsweredOnce, e, "answer number %d", r.answers)
	}
	if e.Outcome == outcome.Completed {
		c.completed(r, e)
	}
}

func (c *checker) completed(r *requestState, e Event) {
	if r.asked.Kind != RequestSent {
		c.breach(WholeAnswer, e, "answer to a request that this caller did not send")
	}
	if r.asked.Want != "" && e.Text != r.asked.Want {
		c.breach(WholeAnswer, e, "answer differs from the true one (%d and %d bytes)", len(e.Text), len(r.asked.Want))
	}
	if r.tokens > 0 && r.streamed.String() != e.Text {
		c.breach(WholeAnswer, e, "streamed tokens differ from the answer")
	}
}

func (c *checker) granted(e Event) {
	if told, ok := c.leaving[e.Node]; ok && e.At-told > c.bounds.Leaving {
		c.breach(LeavingGetsNothing, e, "new work %v after it was told to leave", e.At-told)
	}
}

func (c *checker) listed(e Event) {
	r, ok := c.requests[e.Request]
	if ok && r.isOver && e.At-r.over > c.bounds.Memory {
		c.breach(MemoryFreed, e, "memory held %v after the caller was gone or answered", e.At-r.over)
	}
}

// decide holds each process to revisions that never fall, and all to the newest
// that was accepted longer ago than the bound.
func (c *checker) decide(e Event) {
	at := [2]string{e.Node, e.Key}
	if last := c.decided[at]; e.Revision < last {
		c.breach(NewestRevision, e, "decided under revision %d after %d", e.Revision, last)
	}
	c.decided[at] = max(c.decided[at], e.Revision)
	for _, a := range c.accepted[e.Key] {
		if a.Revision > e.Revision && e.At-a.At > c.bounds.Revision {
			c.breach(NewestRevision, e, "decided under revision %d, %v after %d was accepted", e.Revision, e.At-a.At, a.Revision)
			return
		}
	}
}

// finish makes the checks that need the whole run.
func (c *checker) finish() {
	byKey := make(map[string][]Event)
	for _, id := range c.order {
		r := c.requests[id]
		if r.answers > 0 && r.answer.Outcome == outcome.NotRun && len(r.begun) > 0 {
			c.breach(NotRunIsTrue, r.answer, "said not run, but run %d times, on %s", len(r.begun), r.begun[0].Node)
		}
		if r.asked.Unrepeatable {
			key := r.asked.Key
			if key == "" {
				key = "request " + id
			}
			byKey[key] = append(byKey[key], r.begun...)
		}
		c.checkShutdown(r)
	}
	for key, begun := range byKey {
		if len(begun) > 1 {
			c.breach(RunsOnce, begun[1], "%d runs for %s", len(begun), key)
		}
	}
}

// checkShutdown finds a request that was in progress when a process on its way
// was told to shut down, and that did not end well, unless a fault explains it.
func (c *checker) checkShutdown(r *requestState) {
	bad := r.cut || r.answers > 0 && (r.answer.Outcome == outcome.Failed || r.answer.Outcome == outcome.Unknown)
	if !bad {
		return
	}
	nodes := []string{r.asked.Node}
	for _, b := range r.begun {
		nodes = append(nodes, b.Node)
	}
	if slices.ContainsFunc(nodes, func(n string) bool { return c.faulty(n, r.asked.At, r.endedAt) }) {
		return
	}
	for _, n := range nodes {
		if told, ok := c.draining[n]; ok && told >= r.asked.At && told <= r.endedAt {
			c.breach(ShutdownCutsNothing, Event{At: r.endedAt, Request: r.asked.Request, Node: n}, "request in progress did not end whole")
			return
		}
	}
}

func (c *checker) faulty(node string, from, to time.Duration) bool {
	return slices.ContainsFunc(c.faults[node], func(at time.Duration) bool { return at >= from && at <= to })
}
