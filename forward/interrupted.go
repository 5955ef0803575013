package forward

import (
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
)

// interrupted tracks which requests were in progress at servers that terminated. It is safe for concurrent use.
type interrupted struct {
	mu      sync.Mutex
	tracker *quarantine.Terminations
	// probed are the servers that are being probed.
	probed map[string]struct{}
}

func newInterrupted() *interrupted {
	return &interrupted{tracker: quarantine.NewTerminations(), probed: map[string]struct{}{}}
}

// add records an interrupted attempt. It returns whether its server is known to have terminated, and whether to probe
// it: if it cut the connection and no other probe is in progress.
func (r *interrupted) add(id string, b quarantine.BrokenAttempt, cut bool) (terminated, probe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tracker.AttemptBroken(id, b, time.Now()) {
		return true, false
	}
	if _, ok := r.probed[id]; ok || !cut {
		return false, false
	}
	r.probed[id] = struct{}{}
	return false, true
}

func (r *interrupted) endProbe(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.probed, id)
}

func (r *interrupted) serverTerminated(id string) []quarantine.BrokenAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.ServerTerminated(id, time.Now())
}

// unlisted returns the servers with interrupted attempts that known does not report, and drops expired entries.
func (r *interrupted) unlisted(known func(id string) bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Expire(time.Now())
	var out []string
	for _, id := range r.tracker.Unconfirmed() {
		if !known(id) {
			out = append(out, id)
		}
	}
	return out
}
