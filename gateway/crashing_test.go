package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/holdback"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// Model servers ended one after the other, nine to twelve of nine in a quarter of a minute, and the rulings of
// others that ran there broke off with them. Each time one of the streams that broke had generated nothing yet,
// of one route and with one size of prompt, under another ID: "attempt at a server failed", "stage":"decode",
// "reason":"engine_lost", "sends":1, "error":"unexpected EOF", and then "request answered", "status":502,
// "prompt":2233, "generated":0. It was the same request, sent anew to any gateway, and no gateway knew it again:
// nothing that was kept of a request outlived its answer, and nothing of it was told to other gateways. Each end bears
// the same digest, "server ended with requests in progress", "how":"refused", "contents":["6cb76123717eba12..."],
// and the repeats of gateways are not to blame, since "sends" is 1 in all. By the users' record it was sent to servers
// seven times more after three had ended under it; three are allowed, from three seconds after the third end on.

const (
	// deadly is the body of the request that crashes servers.
	deadly = "a question that no server survives"
	// mayEnd is how many servers the users let one request end before it has to be known, and moreSends in how
	// many sends it may reach servers after that.
	mayEnd, moreSends = 3, 3
	// contact is the time after which processes that are in touch have to know what one of them knows.
	contact = 3 * time.Second
)

// fleet is engines that crash under the deadly request. For each one that ends another starts, under another name
// and at another address. Entries of those that ended stay, as they do for some seconds on the users' platform.
type fleet struct {
	t     *testing.T
	store *site.Store
	calls *site.Log

	mu sync.Mutex
	// started and ended count decode engines, newest is the one that lives.
	started, ended int
	newest         *site.Server
	// behave is how decode engines answer everything else.
	behave site.Behaviour
}

// newFleet starts one engine of each stage.
func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: site.NewStore(t), calls: site.NewLog(), behave: site.Silent}
	e := site.NewServer(t, "pre", f.calls).Entry("llm", "ready")
	e.Stage = "prefill"
	f.store.Put("servers", "pre", e.Encode())
	f.add()
	f.store.Put("op", "config", []byte(`{"version":3,
		"routes":[{"name":"r","host":"h","prefix":"/s/","kind":"stream","timeout_ms":30000,"slo_ms":500,"attempts":1,"service":"llm"}],
		"services":[{"name":"llm","engine":{"slots":48,"kv_capacity":50000,"hold_ms":2000}}]}`))
	return f
}

func (f *fleet) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	s := site.NewServer(f.t, fmt.Sprint("dec-", f.started), f.calls)
	s.Behave(f.behave)
	s.EndUnder(deadly, f.crashed)
	f.newest = s
	e := s.Entry("llm", "ready")
	e.Stage, e.Slots = "decode", 48
	f.store.Put("servers", s.ID, e.Encode())
}

func (f *fleet) crashed(*site.Server) {
	f.add()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended++
}

// ends is the number of engines that have ended and were followed by another.
func (f *fleet) ends() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

// well has engines answer everything but the deadly request whole.
func (f *fleet) well() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behave = site.Answer
	f.newest.Behave(site.Answer)
}

// reached is the number of requests with a body that reached engines.
func (f *fleet) reached(body string) int {
	ids := map[string]bool{}
	for _, c := range f.calls.Calls() {
		if c.Body == body {
			ids[c.ID] = true
		}
	}
	return len(ids)
}

// stream sends a stream and returns its answer; the caller closes it.
func (p *process) stream(t *testing.T, id, body string) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.set.Callers+"/s/1", strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = "h"
	r.Header.Set(site.RequestID, id)
	r.Header.Set(site.Tokens, "1000,200")
	r.Header.Set(site.Deadline, "20000")
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	assert.NilError(t, err)
	return res
}

// startGateways starts three that know each other.
func startGateways(t *testing.T, store *site.Store) []*process {
	a := start(t, store, "g1")
	b := start(t, store, "g2", a.set.Control)
	c := start(t, store, "g3", a.set.Control, b.set.Control)
	list := []*process{a, b, c}
	for _, p := range list {
		p.ready(t, http.StatusOK)
	}
	return list
}

// harmless begins a stream of somebody else, once the gateway has an engine for it.
func (f *fleet) harmless(p *process, id string) io.ReadCloser {
	f.t.Helper()
	var body io.ReadCloser
	until(f.t, "an engine", func() bool {
		res := p.stream(f.t, id, "a harmless question")
		body = res.Body
		if res.StatusCode != http.StatusOK {
			assert.NilError(f.t, body.Close())
		}
		return res.StatusCode == http.StatusOK
	})
	return body
}

// strike sends the deadly request once, beside streams of somebody else that have begun at the same engine by way
// of the same gateway and of another one, and returns the status that it got.
func (f *fleet) strike(gateways []*process, n int) int {
	f.t.Helper()
	p, q := gateways[n%len(gateways)], gateways[(n+1)%len(gateways)]
	others := []io.ReadCloser{f.harmless(p, fmt.Sprint("near-", n)), f.harmless(q, fmt.Sprint("far-", n))}
	before := f.reached(deadly)
	res := p.stream(f.t, fmt.Sprint("deadly-", n), deadly)
	_, _ = io.Copy(io.Discard, res.Body)
	assert.NilError(f.t, res.Body.Close())
	crashed := f.reached(deadly) > before
	if crashed {
		until(f.t, "the next engine", func() bool { return f.ends() == f.reached(deadly) })
	}
	for _, body := range others {
		if crashed {
			_, err := io.ReadAll(body)
			assert.Assert(f.t, err != nil, "the other streams broke off")
		}
		assert.NilError(f.t, body.Close())
	}
	return res.StatusCode
}

// TestRequestThatCrashesServers: after three servers have ended under one request and the gateways had the time to
// hear of it, it reaches servers three times more at most, at whichever gateway it comes. A stream that ran
// beside it at each of these servers is served when it comes again.
func TestRequestThatCrashesServers(t *testing.T) {
	f := newFleet(t)
	gateways := startGateways(t, f.store)
	var statuses []int
	n := 0
	for ; f.ends() < mayEnd; n++ {
		statuses = append(statuses, f.strike(gateways, n))
	}
	// The users' term is part of the scenario; nothing is awaited with it.
	<-time.After(contact)
	before := f.reached(deadly)
	for range 7 {
		statuses = append(statuses, f.strike(gateways, n))
		n++
	}
	more := f.reached(deadly) - before
	assert.Check(t, more <= moreSends, "sent to servers %d times more after three had ended under it; %d ended in all", more, f.ends())
	for _, status := range statuses {
		assert.Check(t, slices.Contains([]int{http.StatusBadGateway, http.StatusServiceUnavailable}, status), "%v", statuses)
	}
	held, deadlyHeld := 0.0, 0
	for _, p := range gateways {
		held += p.count(t, metrics.RefusedPrefix+string(outcome.Quarantined))
	}
	for _, status := range statuses {
		if status == http.StatusServiceUnavailable {
			deadlyHeld++
		}
	}
	assert.Check(t, int(held) == deadlyHeld, "nobody else was turned away for it: %v of %d", held, deadlyHeld)
	f.well()
	res := f.harmless(gateways[0], "again")
	body, err := io.ReadAll(res)
	assert.NilError(t, err)
	assert.NilError(t, res.Close())
	assert.Equal(t, strings.Count(string(body), "token"), site.Events)
}

// untilKnown has the deadly request end as many servers as it takes.
func (f *fleet) untilKnown(gateways []*process) (n int) {
	for ; f.ends() < mayEnd; n++ {
		f.strike(gateways, n)
	}
	for _, p := range gateways {
		until(f.t, "it is held", func() bool { return p.gauge(f.t, metrics.RequestsQuarantined) == 1 })
	}
	return n
}

// refused sends the deadly request and asserts that it is turned away without reaching a server.
func (f *fleet) refused(p *process, id string) {
	f.t.Helper()
	before := f.reached(deadly)
	res := p.stream(f.t, id, deadly)
	assert.NilError(f.t, res.Body.Close())
	assert.Equal(f.t, res.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	assert.NilError(f.t, err)
	assert.Assert(f.t, after > 0 && after <= quarantine.FirstHold.Seconds(), "%v", after)
	assert.Equal(f.t, f.reached(deadly), before)
}

// TestHoldOutlastsGateways: all gateways are lost after it has become known, and those that start in their place
// have never seen a server end. They have it from the store.
func TestHoldOutlastsGateways(t *testing.T) {
	f := newFleet(t)
	gateways := startGateways(t, f.store)
	f.untilKnown(gateways)
	until(t, "it is kept", func() bool { return f.store.Count(holdback.TableName) == 1 })
	for _, p := range gateways {
		p.stop()
		assert.NilError(t, <-p.ended)
		p.ended = nil
	}
	for i, p := range startGateways(t, f.store) {
		until(t, "it is held", func() bool { return p.gauge(t, metrics.RequestsQuarantined) == 1 })
		f.refused(p, fmt.Sprint("again-", i))
	}
}

// TestHoldWithoutStore: a gateway that starts while the store refuses it has it from the others.
func TestHoldWithoutStore(t *testing.T) {
	f := newFleet(t)
	gateways := startGateways(t, f.store)
	f.untilKnown(gateways)
	f.store.Set(site.Busy)
	p := start(t, f.store, "g4", gateways[0].set.Control)
	p.ready(t, http.StatusOK)
	until(t, "it is held", func() bool { return p.gauge(t, metrics.RequestsQuarantined) == 1 })
	f.refused(p, "again")
}

// TestOperatorLetsThrough: an operator removes the row of a request whose servers bear it now. All gateways send it
// on, also those that decided.
func TestOperatorLetsThrough(t *testing.T) {
	f := newFleet(t)
	gateways := startGateways(t, f.store)
	f.untilKnown(gateways)
	var key string
	until(t, "it is kept", func() bool { key = f.store.FirstKey(holdback.TableName); return key != "" })
	f.mu.Lock()
	f.newest.EndUnder("", nil)
	f.mu.Unlock()
	f.well()
	f.store.Put(holdback.TableName, key, nil)
	for i, p := range gateways {
		until(t, "it is let through", func() bool { return p.gauge(t, metrics.RequestsQuarantined) == 0 })
		until(t, "it is answered", func() bool {
			res := p.stream(t, fmt.Sprint("again-", i), deadly)
			_, _ = io.Copy(io.Discard, res.Body)
			assert.NilError(t, res.Body.Close())
			return res.StatusCode == http.StatusOK
		})
	}
}
