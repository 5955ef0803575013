package forward

import (
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
)

// interrupted is which requests were in progress at servers that ended. It is safe for concurrent use.
type interrupted struct {
	mu   sync.Mutex
	ends *quarantine.Terminations
	// asked are the servers that are being asked whether they are there.
	asked map[string]struct{}
}

func newInterrupted() *interrupted {
	return &interrupted{ends: quarantine.NewTerminations(), asked: map[string]struct{}{}}
}

// broke reports whether the server of an attempt that broke is known to have ended, and whether it is to be
// asked: if it cut the connection, and by one request at a time.
func (r *interrupted) broke(id string, b quarantine.BrokenAttempt, cut bool) (ended, ask bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ends.AttemptBroken(id, b, time.Now()) {
		return true, false
	}
	if _, ok := r.asked[id]; ok || !cut {
		return false, false
	}
	r.asked[id] = struct{}{}
	return false, true
}

func (r *interrupted) answered(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asked, id)
}

func (r *interrupted) ended(id string) []quarantine.BrokenAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends.ServerTerminated(id, time.Now())
}

// missing returns the servers at which attempts broke and that known does not name, and forgets what is old.
func (r *interrupted) missing(known func(id string) bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends.Expire(time.Now())
	var out []string
	for _, id := range r.ends.Unconfirmed() {
		if !known(id) {
			out = append(out, id)
		}
	}
	return out
}
