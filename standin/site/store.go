// Package site is a stand-in for the users' platform in tests that run without it: its
// store and its backend servers, which speak the platform's protocol over HTTP on
// loopback and have faults that tests inject.
package site

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

// Row is one row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// StoreFault is an injected fault of the store.
type StoreFault int

// Faults of the store.
const (
	NoFault StoreFault = iota
	// Unavailable answers 503 and TooManyRequests 429; the call has no effect.
	Unavailable
	TooManyRequests
	// LoseAnswer executes the call and closes the connection without an answer.
	LoseAnswer
	// Compacted answers 410 to feeds.
	Compacted
	// CorruptAnswer answers 200 with a body that is not valid JSON.
	CorruptAnswer
)

// Store is a stand-in for the platform's store. It is safe for concurrent use.
type Store struct {
	*httptest.Server
	mu      sync.Mutex
	fault   StoreFault
	ver     int64
	rows    map[string]Row
	history []Row
	calls   int
	// reads counts the answered reads of each table.
	reads   map[string]int
	changed chan struct{}
	era     int64
	// written is what the operator and the servers wrote last, by row; a removed row is marked as deleted.
	written map[string]Row
	// restoreBeforeWrite is how many versions the next write finds lost; negative if the store is not restored before it.
	restoreBeforeWrite int64
}

// eraHeader is in all answers; it rises by one whenever the store is restored from a copy.
const eraHeader = "Store-Era"

// NewStore starts a store that is closed at the end of the test.
func NewStore(t testing.TB) *Store {
	s := &Store{rows: map[string]Row{}, reads: map[string]int{}, written: map[string]Row{}, changed: make(chan struct{}), era: 1,
		restoreBeforeWrite: -1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	s.Server = httptest.NewServer(s.injectFaults(mux))
	t.Cleanup(s.Close)
	return s
}

// Addr returns the address as "ip:port".
func (s *Store) Addr() string { return s.Listener.Addr().String() }

// SetFault sets the active fault; NoFault clears it.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row as the operator or a server would; nil removes it.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(Row{Table: table, Key: key, Value: value, Deleted: value == nil})
}

// Value returns the value of a row, nil if there is none.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey(table, "", key)].Value
}

// Values returns the values of all rows of a table with an empty part, by key.
func (s *Store) Values(table string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]byte{}
	for _, r := range s.rows {
		if r.Table == table && r.Part == "" {
			out[r.Key] = r.Value
		}
	}
	return out
}

// put writes a row in a transaction of its own. The caller holds mu.
func (s *Store) put(r Row) {
	s.ver++
	s.written[rowKey(r.Table, r.Part, r.Key)] = r
	s.apply(r)
}

// WriteAgain writes what the operator and the servers wrote last in these tables and the store lacks, since it was
// restored, and removes what they removed.
func (s *Store) WriteAgain(tables ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.written)) {
		r := s.written[key]
		current, exists := s.rows[key]
		same := exists == !r.Deleted && bytes.Equal(current.Value, r.Value)
		if slices.Contains(tables, r.Table) && !same {
			s.put(r)
		}
	}
}

// Restore restores the store from the copy that it made lost versions ago: later writes are gone, and their versions
// are given out again. Connections are closed.
func (s *Store) Restore(lost int64) {
	s.CloseClientConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restore(lost)
}

// RestoreBeforeWrite restores the store right before it executes the next write, which loses this many versions, zero
// or more. Connections stay open, so that the caller of the write gets the answer of the restored store.
func (s *Store) RestoreBeforeWrite(lost int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoreBeforeWrite = lost
}

// restore replaces the rows by those of the copy. The caller holds mu.
func (s *Store) restore(lost int64) {
	s.era++
	s.ver = max(s.ver-lost, 0)
	s.history = slices.DeleteFunc(s.history, func(r Row) bool { return r.Ver > s.ver })
	clear(s.rows)
	for _, r := range s.history {
		s.replay(r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Reads returns the number of answered reads of a table.
func (s *Store) Reads(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[table]
}

// FirstKey returns the first key of a table; empty if the table has no rows.
func (s *Store) FirstKey(table string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := ""
	for _, r := range s.rows {
		if r.Table == table && (first == "" || r.Key < first) {
			first = r.Key
		}
	}
	return first
}

// Count returns the number of rows of a table.
func (s *Store) Count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.rows {
		if r.Table == table {
			n++
		}
	}
	return n
}

func (s *Store) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.fault
		s.calls++
		w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		switch fault {
		case Unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case TooManyRequests:
			w.WriteHeader(http.StatusTooManyRequests)
		case LoseAnswer:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case CorruptAnswer:
			_, _ = w.Write([]byte(`{"rows":[`))
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// apply writes a row with the current version. The caller holds mu.
func (s *Store) apply(r Row) {
	r.Ver = s.ver
	s.replay(r)
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// replay applies a write of the history. The caller holds mu.
func (s *Store) replay(r Row) {
	if r.Deleted {
		delete(s.rows, rowKey(r.Table, r.Part, r.Key))
		return
	}
	s.rows[rowKey(r.Table, r.Part, r.Key)] = r
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []Row `json:"expected"`
		SetKeys  []Row `json:"set_keys"`
		Remove   []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restoreBeforeWrite >= 0 {
		s.restore(s.restoreBeforeWrite)
		s.restoreBeforeWrite = -1
	}
	w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
	var have []Row
	conflict := false
	for _, e := range body.Expected {
		row, ok := s.rows[rowKey(e.Table, e.Part, e.Key)]
		if ok {
			have = append(have, row)
		}
		conflict = conflict || row.Ver != e.Ver
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": have, "ver": s.ver})
		return
	}
	s.ver++
	for _, row := range body.SetKeys {
		s.apply(row)
	}
	for _, row := range body.Remove {
		row.Deleted = true
		s.apply(row)
	}
	reply(w, http.StatusOK, map[string]any{"ver": s.ver})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []Row{}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") &&
			(q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	s.reads[q.Get("table")]++
	truncated := len(rows) > limit
	if truncated {
		rows = rows[:limit]
	}
	reply(w, http.StatusOK, map[string]any{"rows": rows, "truncated": truncated, "ver": s.ver})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		rows := []Row{}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		ver, changed, gone := s.ver, s.changed, s.fault == Compacted || after > s.ver
		w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A disconnected caller reads no answer, which the test observes on the client side.
	_ = json.NewEncoder(w).Encode(body)
}
