// Command standin plays one case of the review: it starts gateways as processes in front of the project's stand-ins of the
// store and of backend servers, plays the clients, and reports whether a rule was broken.
//
//	standin CASE -gateway FILE -record FILE -trouble 0|1
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"
)

// cases are the cases by name. Each returns how often its rule was broken beyond what the rule allows; zero if it held.
var cases = map[string]func(*scene) int{
	"order":  playOrder,
	"lost":   playLost,
	"drain":  playDrain,
	"parts":  playParts,
	"writes": playWrites,
}

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// bound is the longest time that a case may take.
const bound = 110 * time.Second

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin order|lost|drain|parts|writes -gateway FILE -record FILE -trouble 0|1")
		return failed
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ContinueOnError)
	gateway := flags.String("gateway", "target/hibiscusspur", "the gateway's program")
	record := flags.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flags.Int("trouble", 1, "0 plays the case without its disruption")
	if err := flags.Parse(os.Args[2:]); err != nil {
		return failed
	}
	t := &host{}
	defer t.close()
	defer time.AfterFunc(bound, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		t.close()
		os.Exit(failed)
	}).Stop()
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", p)
			code = failed
		}
	}()
	s := newScene(t, *gateway, *record, *trouble != 0)
	if n := cases[os.Args[1]](s); n > 0 {
		s.note("BROKEN: %d", n)
		return broken
	}
	s.note("held")
	return held
}

// host stands for the test that the project's stand-ins expect: it ends what they started.
type host struct {
	testing.TB
	mu       sync.Mutex
	cleanups []func()
}

// Helper implements testing.TB.
func (h *host) Helper() {}

// Cleanup implements testing.TB.
func (h *host) Cleanup(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cleanups = append(h.cleanups, f)
}

// Fatal implements testing.TB.
func (h *host) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

func (h *host) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.cleanups) - 1; i >= 0; i-- {
		h.cleanups[i]()
	}
}
