package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/prefillpool"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/response"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// kvSource is an exported KV cache and the engine that holds it.
type kvSource struct {
	Export
	server registry.Server
	// exportedAt is when the KV cache was exported.
	exportedAt time.Time
	// release records, once, that the engine no longer holds it.
	release func()
}

// maxPrefillTries bounds how often a prompt is sent to prefill engines before the decode engine prefills it itself.
const maxPrefillTries = 2

// prefill has the prompt prefilled and returns where the KV cache is, or nil if the decode engine of the lease has to
// prefill it itself. After a prefill that was sent and failed, whatever is sent next is a retry; retryDue is set while
// that has not been taken from the budget.
func (f *Forwarder) prefill(ctx context.Context, j *job, l *lease) (export *kvSource, retryDue bool) {
	var tried []string
	for len(tried) < maxPrefillTries {
		if _, held := f.quarantined(j); held {
			return nil, retryDue
		}
		c, ok := f.choosePrefill(j, l, tried)
		if !ok {
			return nil, retryDue
		}
		if retryDue && !f.takeRetry(j) {
			return nil, true
		}
		tried = append(tried, c.Server.ID)
		export, err := f.runPrefill(ctx, j, c)
		if err == nil {
			return &kvSource{Export: export, server: c.Server, exportedAt: time.Now(), release: f.holdExport(j, c.Server.ID)}, false
		}
		f.attemptLost(j, c.Server, f.reasonFor(ctx, err), err)
		if errors.Is(err, errBlocked) {
			break
		}
		retryDue = !errors.Is(err, upstream.ErrNotSent)
		if ctx.Err() != nil {
			break
		}
	}
	return nil, retryDue
}

// choosePrefill returns the engine to prefill the prompt, or none if the decode engine of the lease had better do it.
func (f *Forwarder) choosePrefill(j *job, l *lease, tried []string) (prefillpool.Choice, bool) {
	servers := f.View.Servers(j.service)
	s, now := f.service(j.service), time.Now()
	req := prefillpool.Request{
		Tokens: j.meta.PromptTokens, Zone: l.server.Zone, SlotLoad: s.engines.slotLoad(l.server.ID), Exclude: tried,
		Memory: j.table.Services[j.service].Engine.KVTokens, Verdicts: f.engineVerdicts(len(tried)+1 < maxPrefillTries),
		Left: j.left(now), ReservationLeft: f.reservationLeft(j, l, now),
	}
	if !f.Off.Has(mechanism.PromptReuse) {
		req.Prefilled = j.prefilled
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := s.prefillPool.Pick(servers, req, now)
	if ok {
		f.beginTrial(j, c.Server.ID)
	}
	return c, ok
}

// reservationLeft is the time until a reservation that is not used lapses; zero if it does not.
func (f *Forwarder) reservationLeft(j *job, l *lease, now time.Time) time.Duration {
	lifetime := j.table.Services[j.service].Engine.MaxReservationTTL
	if lifetime == 0 || l.reservation == "" {
		return 0
	}
	return max(l.since.Add(lifetime).Sub(now), 1)
}

// prefillTooLate reports whether the decode engine itself can't prefill the prompt before the deadline.
func (f *Forwarder) prefillTooLate(j *job) bool {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.prefillPool.DecodePrefillTooLate(prefillpool.Request{Tokens: j.meta.PromptTokens, Left: j.left(time.Now())})
}

// observeHandOver records that a run has begun that fetched the KV cache of its prompt.
func (f *Forwarder) observeHandOver(j *job, took time.Duration) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.prefillPool.ObserveHandOver(took, time.Now())
}

// runPrefill sends the prompt to one prefill engine.
func (f *Forwarder) runPrefill(ctx context.Context, j *job, c prefillpool.Choice) (Export, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	ctx, end := f.attempts.begin(ctx, c.Server.ID)
	defer end()
	mark := f.prefillBegins(j, c)
	export, err := f.requestExport(ctx, j, c.Server)
	took := time.Since(start)
	j.prefillTime += took
	j.forgetPrefilled(c.Server.ID)
	if err == nil {
		f.engineSucceeded(c.Server, start)
		j.prefills.prefilled(c.Tokens)
		j.prefilled = append(j.prefilled, prefillpool.Prefilled{ID: c.Server.ID, Mark: mark})
	}
	f.prefillEnds(j, c, err, took)
	return export, err
}

// forgetPrefilled drops what is known of an engine's earlier prefill of the prompt.
func (j *job) forgetPrefilled(id string) {
	j.prefilled = slices.DeleteFunc(j.prefilled, func(p prefillpool.Prefilled) bool { return p.ID == id })
}

func (f *Forwarder) prefillBegins(j *job, c prefillpool.Choice) (mark int64) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	mark = s.prefillPool.Begin(c.Server.ID, c.Tokens)
	s.recordPrefill(c.Server.ID)
	return mark
}

func (f *Forwarder) prefillEnds(j *job, c prefillpool.Choice, err error, took time.Duration) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	if noEvidence(err) {
		s.prefillPool.Cancel(c.Server.ID, c.Tokens)
	} else {
		s.prefillPool.End(c, j.meta.PromptTokens, err == nil, took, time.Now())
	}
	s.recordPrefill(c.Server.ID)
}

// recordPrefill passes the load of a prefill engine on to what is reported to other processes. The caller holds
// Forwarder.mu.
func (s *service) recordPrefill(id string) {
	s.engines.recordPrefill(id, s.prefillPool.OwnLoad(id), s.prefillPool.OwnHeld(id))
}

// holdExport records that a prefill engine holds the prompt, until the returned function is called, or the export
// expires.
func (f *Forwarder) holdExport(j *job, id string) (release func()) {
	s, tokens := f.service(j.service), j.meta.PromptTokens
	f.mu.Lock()
	defer f.mu.Unlock()
	s.prefillPool.Exported(id, tokens)
	s.recordPrefill(id)
	released := sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.prefillPool.Released(id, tokens)
		s.recordPrefill(id)
	})
	expiry := time.AfterFunc(j.table.Services[j.service].Engine.ExportTTL, released)
	return func() {
		expiry.Stop()
		released()
	}
}

func (f *Forwarder) requestExport(ctx context.Context, j *job, s registry.Server) (Export, error) {
	res, err := f.send(ctx, j, s, Send{PrefillOnly: true})
	if err != nil {
		return Export{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := response.ReadBody(res.Body, maxExport)
	if err != nil {
		return Export{}, err
	}
	switch res.Status {
	case http.StatusOK:
		return f.Codec.DecodeExport(body)
	case http.StatusInternalServerError:
		return Export{}, fmt.Errorf("%w: status %d", errFailed, res.Status)
	default:
		return Export{}, refusal(f.Codec.ParseAnswer(res.Status, res.Header))
	}
}

// exportReuseShare is the share of an exported KV cache's time to live after which another engine could hardly fetch
// it in time.
const exportReuseShare = 0.8

// keepExport keeps the KV cache of a run that was not started, for the next attempt.
func (r *stream) keepExport(export *kvSource) { r.spareExport = export }

// takeSpareExport returns the KV cache kept for this attempt, if it can still be fetched.
func (r *stream) takeSpareExport() *kvSource {
	export := r.spareExport
	r.spareExport = nil
	lifetime := r.j.table.Services[r.j.service].Engine.ExportTTL
	if export == nil || time.Since(export.exportedAt) > time.Duration(exportReuseShare*float64(lifetime)) {
		return nil
	}
	return export
}

// freeExport frees a KV cache that will not be fetched, in the background. At an engine in a cooldown it expires by
// itself.
func (f *Forwarder) freeExport(j *job, e *kvSource) {
	if e == nil || f.cooldowns.remaining(e.server.ID) > 0 {
		return
	}
	go func() {
		if err := f.Engines.FreeExport(context.Background(), e.server, e.Handle); err != nil {
			f.attemptFailed(j, e.server, outcome.KVLost, err)
			return
		}
		e.release()
	}()
}

func (f *Forwarder) avoidPrefillEngine(j *job, c registry.Server) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.prefillPool.BackOff(c.ID, time.Now())
}
