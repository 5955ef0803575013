package stand2

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// Names of the protocol that package site keeps to itself.
var (
	prefix         = strings.TrimSuffix(site.Stamp, "Stamp")
	headerStage    = prefix + "Stage"
	headerInstance = prefix + "Expect-Instance"
)

const calls = "/api/"

// Event is one event that a replica wrote on a stream.
type Event struct {
	Request, Server, Version string
	Born                     int64
	Number                   int
	At                       time.Time
}

// Run is one request that a replica ran, from At to End.
type Run struct {
	Request, Server, Service, Version, Method, Target, KVFrom, LastEvent, Body string
	Born                                                                       int64
	At, End                                                                    time.Time
}

// Replica is a stand-in of one backend server: a plain service, or an engine with a stage.
type Replica struct {
	ID, Service, Stage, Zone string
	Slots, Memory            int
	// EventEvery is the time between two events of a stream, EventTokens the tokens of one.
	EventEvery  time.Duration
	EventTokens int
	// WorkTime is how long a plain service works on a request.
	WorkTime time.Duration
	// LosesAnswer, if set, reports whether the answer to a request that the replica runs is lost once it has written some
	// events: the connection is reset, and the run goes on.
	LosesAnswer func(request string) bool
	// Spoils, if set, returns what the replica sends in place of its answer to a request that it runs, before it closes the
	// connection; empty for the answer.
	Spoils func(request string) string

	platform *Platform
	addr     string

	mu      sync.Mutex
	version string
	born    int64
	server  *http.Server
	up      bool
	// seq counts the renewals of the entry since the start.
	seq int64
	// holds are the tokens of each reservation, used those of all reservations and runs.
	holds                  map[string]int
	nextHold, used, active int
	// copies are the backups of runs that the replica holds, by the ID of their request.
	copies map[string]runCopy
	// draining is set once the replica has said that it leaves.
	draining bool
	// runs are the streams that it generates, by the ID of their request, and moved the runs that it holds under a handle.
	runs  map[string]*movable
	moved map[string]movedRun
}

// runCopy is the backup of a run at another replica.
type runCopy struct {
	events  int
	expires time.Time
}

// copyTTL is how long a backup is kept after its last part, kv_ttl_s of the manifest; copyEvery is the time between two parts.
const (
	copyTTL   = 500 * time.Millisecond
	copyEvery = 150 * time.Millisecond
)

// lostAfter is the number of events after which an answer is lost.
const lostAfter = 4

// Version returns the version of the software that runs now.
func (r *Replica) Version() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Addr is the address at which the replica listens, the same after a restart.
func (r *Replica) Addr() string { return r.addr }

// Start starts the replica with a version of its software. It registers itself after some time, and renews its entry each
// heartbeat from then on.
func (r *Replica) Start(version string, registersAfter time.Duration) error {
	addr := r.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.addr, r.version, r.up = l.Addr().String(), version, true
	r.born = max(time.Now().UnixMilli(), r.born+1)
	r.seq, r.used, r.active = 0, 0, 0
	r.holds, r.copies = map[string]int{}, map[string]runCopy{}
	born := r.born
	r.draining, r.runs, r.moved = false, map[string]*movable{}, map[string]movedRun{}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go r.register(born, registersAfter)
	return nil
}

// Crash ends the replica at once: its connections break and nothing listens any more. Its entry stays until it expires.
func (r *Replica) Crash() {
	r.mu.Lock()
	r.up = false
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
}

func (r *Replica) current(born int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up && r.born == born
}

func (r *Replica) register(born int64, after time.Duration) {
	time.Sleep(after)
	for r.current(born) {
		if r.platform.storeDown() {
			time.Sleep(r.platform.Heartbeat / 4)
			continue
		}
		r.putEntry()
		time.Sleep(r.platform.Heartbeat)
	}
}

// putEntry writes the replica's entry.
func (r *Replica) putEntry() {
	r.mu.Lock()
	r.seq++
	e := site.Entry{
		Service: r.Service, Addr: r.addr, Zone: r.Zone, Version: r.version, Slots: r.Slots, State: r.state(), Seq: r.seq, Stage: r.Stage, Born: r.born,
	}
	r.mu.Unlock()
	r.platform.Store.Put("servers", r.ID, e.Encode())
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	born, version := r.born, r.version
	r.mu.Unlock()
	if want := q.Header.Get(headerInstance); want != "" && want != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	if r.draining {
		w.Header().Set("Server-Leaving", "1")
	}
	r.mu.Unlock()
	name := strings.TrimPrefix(q.URL.Path, calls)
	switch {
	case name == q.URL.Path:
		r.request(w, q, born, version)
	case name == "hold-take":
		r.hold(w, q)
	case strings.HasPrefix(name, "hold-drop/"):
		r.dropHold(strings.TrimPrefix(name, "hold-drop/"))
	case name == "report":
		r.report(w)
	case name == "order":
		// Another order is in progress.
		w.WriteHeader(http.StatusConflict)
	case name == "kv-move":
		r.move(w, q)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (r *Replica) hold(w http.ResponseWriter, q *http.Request) {
	var body struct {
		Tokens int     `json:"tokens"`
		TTLMs  float64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(q.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active+len(r.holds) >= r.Slots || r.used+body.Tokens > r.Memory {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.nextHold++
	id := fmt.Sprintf("%x-%d", r.born, r.nextHold)
	r.holds[id] = body.Tokens
	r.used += body.Tokens
	time.AfterFunc(time.Duration(body.TTLMs)*time.Millisecond, func() { r.dropHold(id) })
	reply(w, http.StatusOK, map[string]string{"hold": id})
}

func (r *Replica) dropHold(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= r.holds[id]
	delete(r.holds, id)
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": r.Stage, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0,
		"queued": 0, "active": r.active, "kv_used": r.used, "kv_total": r.Memory, "kv_handles": 0, "born": r.born, "state": "ready",
	})
}

func tokens(q *http.Request) (prompt, out int) {
	_, _ = fmt.Sscanf(q.Header.Get(site.Tokens), "%d,%d", &prompt, &out)
	return prompt, out
}

func (r *Replica) request(w http.ResponseWriter, q *http.Request, born int64, version string) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get(site.RequestID)
	w.Header().Set(site.RequestID, id)
	prompt, _ := tokens(q)
	if q.Header.Get(headerStage) == "prefill" {
		if wait(q.Context(), time.Duration(float64(prompt)/tokensPerMs*float64(time.Millisecond))) {
			reply(w, http.StatusOK, map[string]any{"kv_handle": fmt.Sprintf("%s%x%s", exportPrefix, born, id), "tokens": prompt, "version": 1})
		}
		return
	}
	if r.Stage == "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := q.Header.Get(site.KVFrom)
	if !r.hasCopy(from, id) || !r.begin(q) {
		w.Header().Set(site.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end(prompt, born)
	run := r.platform.ran(Run{
		Request: id, Server: r.ID, Service: r.Service, Version: version, Born: born, Method: q.Method, Target: q.RequestURI, KVFrom: from,
		LastEvent: q.Header.Get(headerLastEvent), Body: string(body),
	})
	defer r.platform.ended(run)
	if r.Spoils != nil {
		if text := r.Spoils(id); text != "" {
			r.platform.Note("spoiled answer to request=%s from server=%s: %q", id, r.ID, text)
			send(w, text)
			return
		}
	}
	w.Header().Set(site.Stamp, r.ID+"."+strconv.FormatInt(born, 10))
	if r.Stage != "" {
		r.stream(w, q, born, version)
		return
	}
	if wait(q.Context(), r.WorkTime) {
		_, _ = io.WriteString(w, "answer of "+r.ID+" to "+id)
	}
}

const (
	headerLastEvent = "Last-Event-Id"
	// exportPrefix begins the handles of prompts that were read, and tells them from the IDs of requests.
	exportPrefix = "x"
	// tokensPerMs is how many tokens of a prompt are read in a millisecond.
	tokensPerMs = 55.5556
)

// hasCopy takes the copy from which a run is to go on. It returns true for a request that begins a run.
func (r *Replica) hasCopy(from, id string) bool {
	holder, name, ok := strings.Cut(from, "/")
	if !ok || strings.HasPrefix(name, exportPrefix) {
		return true
	}
	if strings.HasPrefix(name, movePrefix) {
		return r.takeMoved(from, id)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.copies[name]
	delete(r.copies, name)
	return ok && holder == r.addr && name == id && time.Now().Before(c.expires)
}

// backUp keeps a part of a run at the replica with an address; no events mean that the run has ended successfully.
func (p *Platform) backUp(addr, id string, events int) {
	for _, r := range p.All() {
		r.mu.Lock()
		switch {
		case r.addr != addr || !r.up:
		case events == 0:
			delete(r.copies, id)
		default:
			r.copies[id] = runCopy{events: events, expires: time.Now().Add(copyTTL)}
		}
		r.mu.Unlock()
	}
}

// stream generates the events of a run.
func (r *Replica) stream(w http.ResponseWriter, q *http.Request, born int64, version string) {
	id, backup := q.Header.Get(site.RequestID), q.Header.Get(prefix+"Kv-Backup")
	last, _ := strconv.Atoi(q.Header.Get(headerLastEvent))
	_, out := tokens(q)
	w.Header().Set("Content-Type", "text/event-stream")
	ctx, lost := q.Context(), false
	copied := time.Now()
	m := r.beginMovable(id, last)
	defer r.endMovable(id, m)
	n := int(math.Ceil(float64(out) / float64(r.EventTokens)))
	for i := last + 1; i <= n; i++ {
		if !wait(ctx, r.EventEvery) || !r.current(born) || !m.next(i) {
			// The client has left, the replica has crashed, or the run was stopped for a move: the stream is closed without its
			// end.
			panic(http.ErrAbortHandler)
		}
		r.platform.wrote(Event{Request: id, Server: r.ID, Version: version, Born: born, Number: i, At: time.Now()})
		if backup != "" && time.Since(copied) >= copyEvery {
			copied = time.Now()
			r.platform.backUp(backup, id, i)
		}
		if lost {
			continue
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, version, i)
		w.(http.Flusher).Flush()
		if i == last+lostAfter && i < n && r.LosesAnswer != nil && r.LosesAnswer(id) {
			lost, ctx = true, context.Background()
			reset(w)
			r.platform.Note("lost the answer of request=%s at server=%s after event %d; the run goes on", id, r.ID, i)
		}
	}
	if backup != "" {
		r.platform.backUp(backup, id, 0)
	}
}

// send sends bytes in place of an answer, and closes the connection.
func send(w http.ResponseWriter, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// reset breaks the connection of an answer.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (r *Replica) begin(q *http.Request) bool {
	prompt, _ := tokens(q)
	hold := q.Header.Get(site.Reservation)
	r.mu.Lock()
	defer r.mu.Unlock()
	if held, ok := r.holds[hold]; ok {
		r.used -= held
		delete(r.holds, hold)
	} else if r.active+len(r.holds) >= r.Slots || r.Memory > 0 && r.used+prompt > r.Memory {
		return false
	}
	r.active++
	r.used += prompt
	return true
}

func (r *Replica) end(prompt int, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.born == born {
		r.active--
		r.used -= prompt
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
