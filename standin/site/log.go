package site

import (
	"net/http"
	"strings"
	"sync"
	"testing"
)

// Call is one request that reached a server.
type Call struct {
	Server, Kind, Path, ID string
	// Born is the start time of the server incarnation that received the call.
	Born int64
	// Tokens and Hold are set for a reservation, KVFrom and LastEvent for a run.
	Tokens    int
	Hold      string
	KVFrom    string
	LastEvent string
	// Backup is the address of the engine that backs the run up. Continued is set if a run continued from a copy.
	Backup    string
	Continued bool
	// Moved is set if it continued from the copy of a move, Returned if at the engine that had stopped it.
	Moved, Returned bool
	// Last is set if a move stops the run.
	Last   bool
	Header http.Header
	Body   string
	// Refused is set when the server did not run the request.
	Refused bool
}

// Kinds of calls.
const (
	Plain   = "plain"
	Prefill = "prefill"
	Decode  = "decode"
	Hold    = "hold"
	Drop    = "drop"
	Free    = "free"
	Order   = "order"
	Report  = "report"
	Move    = "move"
)

// Log records the calls of several servers in order. It is safe for concurrent use.
type Log struct {
	mu        sync.Mutex
	calls     []Call
	abandoned []Call
	wake      chan struct{}
	watcher   func(Call)
	copies    copies
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{wake: make(chan struct{})} }

// Watch makes the log call f with each later call, in order.
func (l *Log) Watch(f func(Call)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watcher = f
}

func (l *Log) add(list *[]Call, c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watcher != nil && list == &l.calls {
		l.watcher(c)
	}
	*list = append(*list, c)
	close(l.wake)
	l.wake = make(chan struct{})
}

// Calls returns the recorded calls.
func (l *Log) Calls() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Call(nil), l.calls...)
}

// Kinds lists the kind and the server of each recorded call.
func (l *Log) Kinds() string {
	var out []string
	for _, c := range l.Calls() {
		out = append(out, c.Kind+" "+c.Server)
	}
	return strings.Join(out, ", ")
}

// Wait blocks until a call satisfies match; if abandoned is set, only requests whose caller has disconnected are
// considered.
func (l *Log) Wait(t testing.TB, abandoned bool, match func(Call) bool) Call {
	t.Helper()
	for {
		l.mu.Lock()
		list, wake := l.calls, l.wake
		if abandoned {
			list = l.abandoned
		}
		l.mu.Unlock()
		for _, c := range list {
			if match(c) {
				return c
			}
		}
		select {
		case <-wake:
		case <-t.Context().Done():
			t.Fatal("no call matched before the test ended")
		}
	}
}
