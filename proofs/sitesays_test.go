package proofs

import (
	"slices"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/invariant"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

const (
	// saidLimit is what servers in need name, in requests a second; they do so for needLasts.
	saidLimit, saidLimitText = 4, "4"
	needLasts                = 7 * time.Second
	// The users' rule for limits: needContact after a server first named one, no needWindow has more than needOverage times
	// what it allows, and needMore.
	needContact = 3 * time.Second
	needWindow  = 4 * time.Second
	needOverage = 1.5
	needMore    = 5
	// saidRest is the rest that servers ask for, restGrace the time after which it holds, and restMore how many requests may
	// reach them all the same from one process.
	saidRest, saidRestText = 2 * time.Second, "2"
	restGrace              = 500 * time.Millisecond
	restMore               = 2
	// knowNothing is how many requests gateways may send that have been started, or were frozen, since they were told: as many
	// as clients have in progress, through each of them.
	knowNothing = soakGateways * soakClients
)

// saying is a server that says something of itself for a while, and when requests reached it.
type saying struct {
	server string
	from   time.Time
	// over is set once it says so no more.
	over    bool
	reached []time.Time
	// most may reach it in any span that begins a while after from.
	after, span time.Duration
	most        int
}

// sayings are all of a run.
type sayings struct {
	mu  sync.Mutex
	all []*saying
}

// begin notes a server that says something from now on, until end is called.
func (s *sayings) begin(one saying) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one.from = time.Now()
	s.all = append(s.all, &one)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		one.over = true
	}
}

// called notes what reaches a server.
func (s *sayings) called(call site.Call) {
	if !slices.Contains([]string{site.Plain, site.Prefill, site.Decode}, call.Kind) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.all {
		if one.server == call.Server && !one.over && time.Since(one.from) >= one.after {
			one.reached = append(one.reached, time.Now())
		}
	}
}

// judgeSayings holds what reached servers to what they said.
func (w *siteWatch) judgeSayings() {
	w.sayings.mu.Lock()
	defer w.sayings.mu.Unlock()
	for _, s := range w.sayings.all {
		for i, from := range s.reached {
			n := len(s.reached[i:])
			if end := slices.IndexFunc(s.reached[i:], func(at time.Time) bool { return at.Sub(from) > s.span }); end >= 0 {
				n = end
			}
			if n > s.most {
				assert.Check(w.c.t, false, "%s got %d requests in %v where its answers allow %d", s.server, n, s.span, s.most)
				break
			}
		}
	}
}

// need has a server name a limit, until it is well again.
func (x *soaker) need(i int) (string, func()) {
	s := x.lastAsked(x.server(i).stage)
	if !x.take(s.ID) {
		return "", nil
	}
	end := x.w.sayings.begin(saying{
		server: s.ID, after: needContact, span: needWindow,
		most: int(saidLimit*needWindow.Seconds()*needOverage) + needMore + knowNothing,
	})
	s.SetLimit(saidLimitText)
	x.w.c.keys.probing.Go(func() {
		time.Sleep(needLasts)
		end()
		s.SetLimit("")
		x.free(s.ID)
	})
	return "", nil
}

// rest has a server turn requests away and ask for rest.
func (x *soaker) rest(i int) (string, func()) {
	s := x.lastAsked(x.server(i).stage)
	if !x.take(s.ID) {
		return "", nil
	}
	end := x.w.sayings.begin(saying{
		server: s.ID, after: restGrace, span: saidRest - restGrace,
		most: soakClients + soakGateways*restMore + knowNothing,
	})
	s.SetRetryAfter(saidRestText)
	s.Behave(site.Shed)
	return s.ID, func() {
		end()
		s.Behave(site.Answer)
		s.SetRetryAfter("")
	}
}

// leaveInAnswers has a server say that it leaves in its answers, and in the end in its entry.
func (x *soaker) leaveInAnswers(i int) (string, func()) {
	s := x.lastAsked(x.server(i).stage)
	if !x.take(s.ID) {
		return "", nil
	}
	x.c.addServer(s.service, s.stage)
	x.c.retire(s)
	s.SetLeaving()
	x.w.rec.Add(invariant.Event{Kind: invariant.Leaving, Node: startID(s.ID, s.Born())})
	return s.ID, func() { x.c.list(s, "draining") }
}

// sayingKinds are servers that say something of themselves in answers.
func (x *soaker) sayingKinds() []faultKind {
	return []faultKind{
		{"server names a limit", x.need},
		{"server asks for rest", x.rest},
		{"server leaves by its answers", x.leaveInAnswers},
	}
}
