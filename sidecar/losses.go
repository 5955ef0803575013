package sidecar

import (
	"context"
	"errors"
	"net"
	"net/url"
	"syscall"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// losses counts how often the engine or service was lost while it worked. Attempts that end with the same loss share its
// number: entries tell from it whether two requests ended with one termination or with two. It is guarded by Server.mu.
type losses struct {
	count uint32
	// answered is set once the engine has begun to work again since the last loss.
	answered bool
}

// lost records that an attempt in progress was lost, and returns the number of the loss.
func (l *losses) lost() uint32 {
	if l.count == 0 || l.answered {
		l.count++
		l.answered = false
	}
	return l.count
}

// workBegan records that the engine or service has accepted work.
func (l *losses) workBegan() { l.answered = true }

// lost reports whether an attempt ended because the engine or service terminated while it worked on it. A run's stream
// was opened again in vain by then. A prefill or a call ends with its connection, which may break otherwise, so a
// termination shows only if nothing listens any more. A prefill is no run, so that its outcome is not_run even then.
func (w *worker) lost(stage wire.Stage, o outcome.Outcome) bool {
	switch {
	case o.Reason != outcome.EngineLost:
		return false
	case stage == wire.Stage_STAGE_PREFILL:
		return refusesConnections(w.ctx, w.s.set.Engine)
	case stage == wire.Stage_STAGE_CALL:
		return o.Kind != outcome.NotRun && refusesConnections(w.ctx, w.s.set.Service)
	default:
		return o.Kind != outcome.NotRun
	}
}

// dialTimeout bounds a connection attempt to the engine or service, which run on the same VM.
const dialTimeout = 200 * time.Millisecond

// refusesConnections reports whether nothing listens at the host of a URL.
func refusesConnections(ctx context.Context, base string) bool {
	u, err := url.Parse(base)
	if err != nil {
		return false
	}
	port := u.Port()
	if port == "" {
		port = u.Scheme
	}
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", net.JoinHostPort(u.Hostname(), port))
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
