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
	// announcedLimit is the limit that overloaded servers announce, in requests a second; they do so for
	// limitDuration.
	announcedLimit, announcedLimitText = 4, "4"
	limitDuration                      = 7 * time.Second
	// The users' rule for limits: from limitGrace after a server first announced one, no limitWindow has more
	// requests than limitOverage times what the limit allows, plus limitSlack.
	limitGrace   = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// cooldown is the cooldown that servers ask for, cooldownGrace the time after which it has to be
	// respected, and cooldownSlack how many requests may still reach them from one process.
	cooldown, cooldownText = 2 * time.Second, "2"
	cooldownGrace          = 500 * time.Millisecond
	cooldownSlack          = 2
	// unawareRequests is how many more requests are allowed from gateways that have restarted, or were frozen,
	// since the announcement and so don't have it: as many as clients have in progress, through each gateway.
	unawareRequests = soakGateways * soakClients
)

// announcement is a server that announces something in its responses for a while, and when requests reached
// it.
type announcement struct {
	server string
	from   time.Time
	// withdrawn is set once the server no longer announces it.
	withdrawn bool
	calls     []time.Time
	// calls are counted from the time after past from; at most maxRequests of them may lie within any span.
	after, span time.Duration
	maxRequests int
}

// announcements are all announcements of a run.
type announcements struct {
	mu  sync.Mutex
	all []*announcement
}

// begin records an announcement that a server makes from now on, until end is called.
func (s *announcements) begin(one announcement) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one.from = time.Now()
	s.all = append(s.all, &one)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		one.withdrawn = true
	}
}

// recordCall records a call that reached a server.
func (s *announcements) recordCall(call site.Call) {
	if !slices.Contains([]string{site.Plain, site.Prefill, site.Decode}, call.Kind) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.all {
		if one.server == call.Server && !one.withdrawn && time.Since(one.from) >= one.after {
			one.calls = append(one.calls, time.Now())
		}
	}
}

// checkAnnouncements checks the calls that reached servers against their announcements.
func (w *gatewayObserver) checkAnnouncements() {
	w.announcements.mu.Lock()
	defer w.announcements.mu.Unlock()
	for _, s := range w.announcements.all {
		for i, from := range s.calls {
			n := len(s.calls[i:])
			if end := slices.IndexFunc(s.calls[i:], func(at time.Time) bool { return at.Sub(from) > s.span }); end >= 0 {
				n = end
			}
			if n > s.maxRequests {
				assert.Check(w.c.t, false, "%s got %d requests in %v; its announcement allows %d", s.server, n, s.span, s.maxRequests)
				break
			}
		}
	}
}

// announceLimit makes a server announce a limit for limitDuration.
func (x *soaker) announceLimit(i int) (string, func()) {
	s := x.lastCalled(x.server(i).stage)
	if !x.reserve(s.ID) {
		return "", nil
	}
	end := x.w.announcements.begin(announcement{
		server: s.ID, after: limitGrace, span: limitWindow,
		maxRequests: int(announcedLimit*limitWindow.Seconds()*limitOverage) + limitSlack + unawareRequests,
	})
	s.SetLimit(announcedLimitText)
	x.w.c.keys.probing.Go(func() {
		time.Sleep(limitDuration)
		end()
		s.SetLimit("")
		x.release(s.ID)
	})
	return "", nil
}

// announceCooldown makes a server reject requests and ask for a cooldown.
func (x *soaker) announceCooldown(i int) (string, func()) {
	s := x.lastCalled(x.server(i).stage)
	if !x.reserve(s.ID) {
		return "", nil
	}
	end := x.w.announcements.begin(announcement{
		server: s.ID, after: cooldownGrace, span: cooldown - cooldownGrace,
		maxRequests: soakClients + soakGateways*cooldownSlack + unawareRequests,
	})
	s.SetRetryAfter(cooldownText)
	s.Behave(site.Shed)
	return s.ID, func() {
		end()
		s.Behave(site.Answer)
		s.SetRetryAfter("")
	}
}

// announceLeaving makes a server announce in its responses that it leaves, and when the fault ends in its
// entry too.
func (x *soaker) announceLeaving(i int) (string, func()) {
	s := x.lastCalled(x.server(i).stage)
	if !x.reserve(s.ID) {
		return "", nil
	}
	x.c.addServer(s.service, s.stage)
	x.c.retire(s)
	s.SetLeaving()
	x.w.rec.Add(invariant.Event{Kind: invariant.Leaving, Node: incarnationID(s.ID, s.Born())})
	return s.ID, func() { x.c.putEntry(s, "draining") }
}

// announcementKinds are the faults of servers that announce something in their responses.
func (x *soaker) announcementKinds() []faultKind {
	return []faultKind{
		{"server names a limit", x.announceLimit},
		{"server asks for rest", x.announceCooldown},
		{"server leaves by its answers", x.announceLeaving},
	}
}
