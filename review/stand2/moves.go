package stand2

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// movePrefix begins the handles of moves.
const movePrefix = "m"

// copyTime is how long the copy of a run takes, holdTime how long a handle is kept.
const (
	copyTime = 150 * time.Millisecond
	holdTime = 2 * time.Second
)

// movable is a stream that a replica generates and may stop for a move.
type movable struct {
	mu      sync.Mutex
	events  int
	stopped bool
	handle  string
}

// movedRun is a run that a replica holds under a handle: its copy, or what it keeps of a run that it has stopped.
type movedRun struct {
	request string
	events  int
	expires time.Time
}

func (r *Replica) beginMovable(id string, events int) *movable {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextHold++
	m := &movable{events: events, handle: fmt.Sprintf("%s%x-%d", movePrefix, r.born, r.nextHold)}
	r.runs[id] = m
	return m
}

func (r *Replica) endMovable(id string, m *movable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[id] == m {
		delete(r.runs, id)
	}
}

// next records that an event is generated. It returns false if the run was stopped.
func (m *movable) next(event int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return false
	}
	m.events = event
	return true
}

// move copies a run to another replica, and stops it first if it is the last call.
func (r *Replica) move(w http.ResponseWriter, q *http.Request) {
	var body struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(q.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	m := r.runs[body.ID]
	r.mu.Unlock()
	if m == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	m.mu.Lock()
	m.stopped = m.stopped || body.Last
	m.mu.Unlock()
	time.Sleep(copyTime)
	m.mu.Lock()
	copied := movedRun{request: body.ID, events: m.events, expires: time.Now().Add(holdTime)}
	m.mu.Unlock()
	name := r.addr + "/" + m.handle
	holders := []string{body.To}
	if body.Last {
		holders = append(holders, r.addr)
	}
	r.platform.hold(name, copied, holders)
	r.platform.Note("move request=%s from server=%s to=%s last=%t handle=%s", body.ID, r.ID, body.To, body.Last, m.handle)
	reply(w, http.StatusOK, map[string]any{"kv_handle": m.handle, "create_rev": copied.events})
}

// hold gives replicas with these addresses what they hold of a run under a handle.
func (p *Platform) hold(name string, m movedRun, addrs []string) {
	for _, r := range p.All() {
		for _, addr := range addrs {
			if r.addr == addr {
				r.mu.Lock()
				r.moved[name] = m
				r.mu.Unlock()
			}
		}
	}
}

// takeMoved takes what is held under a handle. Replicas do not check whose it is.
func (r *Replica) takeMoved(name, id string) bool {
	r.mu.Lock()
	m, ok := r.moved[name]
	delete(r.moved, name)
	r.mu.Unlock()
	if !ok || time.Now().After(m.expires) {
		return false
	}
	for _, other := range r.platform.All() {
		if other != r {
			other.mu.Lock()
			delete(other.moved, name)
			other.mu.Unlock()
		}
	}
	if m.request != id {
		r.platform.foreignMemory(r.ID, id, m.request, name)
	}
	return true
}

// state is what the replica says of itself in its entry. The caller holds mu.
func (r *Replica) state() string {
	if r.draining {
		return "draining"
	}
	return "ready"
}

// Drain makes the replica say that it leaves. It serves on.
func (r *Replica) Drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.platform.Note("server=%s drains", r.ID)
	r.putEntry()
}
