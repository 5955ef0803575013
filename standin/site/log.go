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
	// Born is that of the server that it reached.
	Born int64
	// Tokens and Hold are those of a reservation, KVFrom and LastEvent of a run.
	Tokens    int
	Hold      string
	KVFrom    string
	LastEvent string
	Header    http.Header
	Body      string
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
)

// Log is the calls of several servers in order. It is safe for concurrent use.
type Log struct {
	mu    sync.Mutex
	calls []Call
	left  []Call
	wake  chan struct{}
	watch func(Call)
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{wake: make(chan struct{})} }

// Watch has f called with each call from now on, in order.
func (l *Log) Watch(f func(Call)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch = f
}

func (l *Log) add(list *[]Call, c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watch != nil && list == &l.calls {
		l.watch(c)
	}
	*list = append(*list, c)
	close(l.wake)
	l.wake = make(chan struct{})
}

// Calls returns the calls so far.
func (l *Log) Calls() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Call(nil), l.calls...)
}

// Kinds returns the kinds of the calls so far, with the names of their servers.
func (l *Log) Kinds() string {
	var out []string
	for _, c := range l.Calls() {
		out = append(out, c.Kind+" "+c.Server)
	}
	return strings.Join(out, ", ")
}

// Wait blocks until a call satisfies match, or a request whose caller left does.
func (l *Log) Wait(t testing.TB, left bool, match func(Call) bool) Call {
	t.Helper()
	for {
		l.mu.Lock()
		list, wake := l.calls, l.wake
		if left {
			list = l.left
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
			t.Fatal("the call did not come")
		}
	}
}
