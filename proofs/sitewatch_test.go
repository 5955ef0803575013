package proofs

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/invariant"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// siteWatch asks gateways like the users' clients and records what they and the servers see.
type siteWatch struct {
	c    *siteCluster
	rec  *invariant.Recorder
	pool *upstream.Pool

	mu   sync.Mutex
	ends map[string]int
	sent int
	// accepted are the manifests, shown the newest that a process has answered by.
	accepted []accepted
	shown    map[string]int
	strikers *strikers
	sayings  sayings
}

// accepted is a manifest that the store has taken.
type accepted struct {
	version int
	at      time.Time
}

func newSiteWatch(c *siteCluster) *siteWatch {
	w := &siteWatch{
		c: c, rec: invariant.NewRecorder(), pool: upstream.New(upstream.Options{}),
		ends: map[string]int{}, shown: map[string]int{}, accepted: []accepted{{version: c.newest()}},
	}
	w.strikers = newStrikers(w)
	c.log.Watch(w.called)
	return w
}

// called records what reaches a server. Reading a prompt is work, but no run.
func (w *siteWatch) called(call site.Call) {
	w.strikers.called(call)
	w.sayings.called(call)
	e := invariant.Event{Request: call.ID, Node: startID(call.Server, call.Born)}
	if call.Refused || !slices.Contains([]string{site.Plain, site.Prefill, site.Decode}, call.Kind) {
		return
	}
	w.sawTenant(call)
	e.Kind = invariant.WorkAccepted
	w.rec.Add(e)
	if call.Kind != site.Prefill {
		e.Kind = invariant.RunStarted
		w.rec.Add(e)
	}
}

// startID names one start of a server: what is said of it does not hold for the next one.
func startID(server string, born int64) string {
	return registry.Incarnation{Instance: server, Born: born}.ID()
}

// siteAsk is one request of a client.
type siteAsk struct {
	id, route string
	// leave is after how long the client closes its connection; zero if it stays.
	leave time.Duration
	// key is the API key; empty stands for one that must be known.
	key string
	// target and body are those of a request that comes again under other IDs; empty for all others.
	target, body string
}

func (q siteAsk) streams() bool      { return q.route == "draft" || q.route == "resume" }
func (q siteAsk) unrepeatable() bool { return q.route == "unsafe" || q.route == "draft" }

// want is the true answer; that of a plain server without the name of the server.
func (q siteAsk) want() string {
	if !q.streams() {
		return "answer to " + q.path()
	}
	var b strings.Builder
	for i := range site.Events {
		b.WriteString(token(i))
	}
	return b.String()
}

func (q siteAsk) path() string {
	if q.target != "" {
		return q.target
	}
	return "/" + q.route + "/" + q.id
}

// token is the text of the event of that number, from zero.
func token(i int) string { return fmt.Sprint("token ", i+1) }

// clientPatience is how long a client waits.
const clientPatience = 5 * time.Second

// client asks until stop, through any gateway, and uses its open connections as long as
// they last.
func (w *siteWatch) client(number int, seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(number)+1))
	routes := []string{"safe", "safe", "unsafe", "unsafe", "draft", "resume", "version"}
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(int(clientPause)))):
		}
		q := siteAsk{id: fmt.Sprintf("%d-%d", number, k), route: routes[rng.IntN(len(routes))]}
		if q.route == "version" {
			q.route = versionRoute(max(w.c.newest()-rng.IntN(3), 1))
		}
		if rng.IntN(8) == 0 {
			q.leave = time.Duration(rng.IntN(int(100 * time.Millisecond)))
		}
		w.ask(w.c.gateways[rng.IntN(len(w.c.gateways))], q)
	}
}

// clientPause is the longest pause between two requests of a client.
const clientPause = 40 * time.Millisecond

// ask sends one request, records its end, and returns the status, zero without an answer.
func (w *siteWatch) ask(g *siteGateway, q siteAsk) int {
	ctx, cancel := context.WithTimeout(context.Background(), clientPatience)
	defer cancel()
	if q.leave > 0 {
		ctx, cancel = context.WithTimeout(ctx, q.leave)
		defer cancel()
	}
	e := invariant.Event{Request: q.id, Node: g.vm}
	asked := e
	asked.Kind, asked.Unrepeatable, asked.Want = invariant.RequestSent, q.unrepeatable(), q.want()
	w.rec.Add(asked)
	process, oldest := g.process(), w.oldest(g.process())
	status := w.send(ctx, g, q, &e)
	if version, err := strconv.Atoi(strings.TrimPrefix(q.route, "v")); err == nil && status == http.StatusOK && process == g.process() {
		assert.Check(w.c.t, version >= oldest, "%s answered by manifest %d where %d holds at least", process, version, oldest)
		w.show(process, version)
	}
	if e.Kind == invariant.ConnectionLost && ctx.Err() != nil {
		e.Kind = invariant.CallerGone
	}
	w.rec.Add(e)
	w.count(fmt.Sprint(q.kind(), " ", status))
	return status
}

// process names the gateway's present process.
func (g *siteGateway) process() string { return fmt.Sprint(g.vm, "/", g.proc.pid()) }

// oldest is the oldest manifest by which a process may answer a request that is sent now: it
// keeps to the newest that it has shown, and to those that the store took some time ago.
func (w *siteWatch) oldest(process string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	oldest := w.shown[process]
	for _, a := range w.accepted {
		if time.Since(a.at) > soakBounds().Revision {
			oldest = max(oldest, a.version)
		}
	}
	return oldest
}

func (w *siteWatch) show(process string, version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shown[process] = max(w.shown[process], version)
}

// kind is the name of the route, the same for routes of all versions.
func (q siteAsk) kind() string { return strings.TrimRight(q.route, "0123456789") }

func (w *siteWatch) count(end string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[end]++
	w.sent++
}

func (w *siteWatch) send(ctx context.Context, g *siteGateway, q siteAsk, e *invariant.Event) int {
	e.Kind = invariant.ConnectionLost
	h := http.Header{site.Credentials: {w.credentials(q)}, site.RequestID: {q.id}, site.Deadline: {strconv.FormatInt(clientPatience.Milliseconds(), 10)}}
	if q.streams() {
		h.Set(site.Tokens, "1000,200")
	}
	method := http.MethodPost
	if q.kind() == "safe" || q.kind() == "v" {
		method = http.MethodGet
	}
	res, err := w.pool.Do(ctx, g.callers, &upstream.Request{Method: method, Target: q.path(), Host: siteHost, Header: h, Body: []byte(q.body)})
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	w.take(q, res, e)
	return res.Status
}

// take records what the answer says.
func (w *siteWatch) take(q siteAsk, res *upstream.Response, e *invariant.Event) {
	stamp := res.Header.Get(site.Stamp)
	switch res.Status {
	case http.StatusOK:
		assert.Check(w.c.t, stamp != "", "%s: 200 without a server's mark", q.id)
		w.success(q, res, stamp, e)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		// A request under which servers end is told for how long it is held back, one beyond a quota when there will be room.
		truth := q.body != "" || res.Status == http.StatusTooManyRequests
		assert.Check(w.c.t, err == nil && (after <= clientPatience.Seconds()/3 || truth), "%s: refused with Retry-After %q", q.id, res.Header.Get("Retry-After"))
		e.Kind, e.Outcome = invariant.ResponseReceived, outcome.NotRun
	case http.StatusUnauthorized:
		assert.Check(w.c.t, strings.HasPrefix(q.id, takenID), "%s: 401 for a key that all manifests have", q.id)
		e.Kind, e.Outcome = invariant.ResponseReceived, outcome.NotRun
	case http.StatusNotFound:
		assert.Check(w.c.t, q.kind() == "v", "%s: 404 for a route that all manifests have", q.id)
		e.Kind, e.Outcome = invariant.ResponseReceived, outcome.NotRun
	default:
		e.Kind, e.Outcome = invariant.ResponseReceived, outcome.Unknown
	}
}

func (w *siteWatch) success(q siteAsk, res *upstream.Response, stamp string, e *invariant.Event) {
	text, err := "", error(nil)
	if q.streams() {
		text, err = w.stream(q, res.Body, e)
	} else {
		var body []byte
		body, err = io.ReadAll(res.Body)
		text = strings.Replace(string(body), "answer of "+stamp+" to", "answer to", 1)
	}
	if err != nil {
		return
	}
	e.Kind, e.Outcome, e.Text = invariant.ResponseReceived, outcome.Completed, text
}

// stream reads a stream to its end.
func (w *siteWatch) stream(q siteAsk, body io.Reader, e *invariant.Event) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		position := -1
		if _, err := fmt.Sscanf(data, "token %d", &position); err != nil {
			continue // broken off within an event; the scanner reports the end
		}
		w.rec.Add(invariant.Event{Kind: invariant.Token, Request: q.id, Node: e.Node, Position: position - 1, Text: data})
		text.WriteString(data)
	}
	return text.String(), lines.Err()
}

// change writes the next manifest.
func (w *siteWatch) change() {
	version := w.c.nextManifest()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted = append(w.accepted, accepted{version, time.Now()})
}

// recovers asks every gateway for each kind of request until it is served.
func (w *siteWatch) recovers(bound time.Duration) {
	for _, g := range w.c.gateways {
		for _, route := range []string{"safe", "unsafe", "draft", "resume", versionRoute(w.c.newest())} {
			n := 0
			eventually(w.c.t, bound, g.vm+" serves "+route, func() bool {
				n++
				return w.ask(g, siteAsk{id: fmt.Sprintf("%s-%s-%d", g.vm, route, n), route: route}) == http.StatusOK
			})
		}
	}
}

// atRest waits until no server works on anything any more: all clients have left. A server
// behind a link that was silenced for good can't know that, and is told.
func (w *siteWatch) atRest(bound time.Duration) {
	for _, s := range w.c.all() {
		s.relay.cutSilent()
	}
	eventually(w.c.t, bound, "servers at rest", func() bool {
		return !slices.ContainsFunc(w.c.all(), func(s *siteServer) bool { return s.Active() > 0 })
	})
}

func (w *siteWatch) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, end := range slices.Sorted(maps.Keys(w.ends)) {
		out = append(out, fmt.Sprint(end, ": ", w.ends[end]))
	}
	return fmt.Sprint(w.sent, " requests (", strings.Join(out, ", "), ")")
}
