package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/prefillpool"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// source is an exported KV cache and the engine that holds it.
type source struct {
	Export
	server registry.Server
	// readAt is when it was exported.
	readAt time.Time
}

// prefillTries bounds how often a prompt is sent to prefill engines before the decode
// engine reads it itself.
const prefillTries = 2

// prefill has the prompt read and returns where the KV cache is, or nil when the decode
// engine of the lease has to read it itself. A reading that was sent and did not succeed makes whatever is
// sent next a repeat; owed is set when that was not taken from the budget yet.
func (f *Forwarder) prefill(ctx context.Context, j *job, l *lease) (export *source, owed bool) {
	var tried []string
	for len(tried) < prefillTries {
		if _, held := f.held(j); held {
			return nil, owed
		}
		c, ok := f.choosePrefill(j, l, tried)
		if !ok {
			return nil, owed
		}
		if owed && !f.mayRepeat(j) {
			return nil, true
		}
		tried = append(tried, c.Server.ID)
		export, err := f.read(ctx, j, c)
		if err == nil {
			return &source{Export: export, server: c.Server, readAt: time.Now()}, false
		}
		f.attemptLost(j, c.Server, f.explain(ctx, err), err)
		if errors.Is(err, errBarred) {
			break
		}
		owed = !errors.Is(err, upstream.ErrNotSent)
		if ctx.Err() != nil {
			break
		}
	}
	return nil, owed
}

// choosePrefill returns the engine that is to read the prompt, or none when the decode engine
// of the lease had better read it.
func (f *Forwarder) choosePrefill(j *job, l *lease, tried []string) (prefillpool.Choice, bool) {
	servers := f.View.Servers(j.service)
	s := f.service(j.service)
	ask := prefillpool.Request{
		Tokens: j.meta.PromptTokens, Zone: l.server.Zone, SlotLoad: s.engines.crowd(l.server.ID), Exclude: tried,
		Memory: j.table.Services[j.service].Engine.KVTokens, Avoid: f.doubts.doubtful, Unavailable: f.closed,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.readers.Pick(servers, ask, time.Now())
}

// read sends the prompt to one prefill engine.
func (f *Forwarder) read(ctx context.Context, j *job, c prefillpool.Choice) (Export, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	ctx, end := f.attempts.begin(ctx, c.Server.ID)
	defer end()
	f.readingBegins(j, c)
	export, err := f.askExport(ctx, j, c.Server)
	took := time.Since(start)
	j.read += took
	if err == nil {
		f.doubts.succeeded(c.Server.ID)
	}
	f.readingEnds(j, c, err == nil, took)
	return export, err
}

func (f *Forwarder) readingBegins(j *job, c prefillpool.Choice) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.readers.Begin(c.Server.ID, j.meta.PromptTokens)
	s.engines.noteReading(c.Server.ID, s.readers.OwnLoad(c.Server.ID))
}

func (f *Forwarder) readingEnds(j *job, c prefillpool.Choice, ok bool, took time.Duration) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.readers.End(c, j.meta.PromptTokens, ok, took, time.Now())
	s.engines.noteReading(c.Server.ID, s.readers.OwnLoad(c.Server.ID))
}

func (f *Forwarder) askExport(ctx context.Context, j *job, s registry.Server) (Export, error) {
	res, err := f.send(ctx, j, s, Send{PrefillOnly: true})
	if err != nil {
		return Export{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return Export{}, err
	}
	switch res.Status {
	case http.StatusOK:
		return f.Codec.DecodeExport(body)
	case http.StatusInternalServerError:
		return Export{}, fmt.Errorf("%w: status %d", errFailed, res.Status)
	default:
		return Export{}, fmt.Errorf("%w: status %d", errNotRun, res.Status)
	}
}

// keptShare is the part of an exported KV cache's life after which another engine would hardly fetch it in time.
const keptShare = 0.8

// keep keeps the KV cache of a run that did not come to be, for the next attempt.
func (r *stream) keep(export *source) { r.kept = export }

// takeKept returns the KV cache that was kept, if it can still be fetched.
func (r *stream) takeKept() *source {
	export := r.kept
	r.kept = nil
	life := r.j.table.Services[r.j.service].Engine.ExportLife
	if export == nil || time.Since(export.readAt) > time.Duration(keptShare*float64(life)) {
		return nil
	}
	return export
}

// freeExport frees a KV cache that will not be fetched, without waiting for it. At an engine that wants nothing it lapses
// by itself.
func (f *Forwarder) freeExport(j *job, e *source) {
	if e == nil || f.rests.left(e.server.ID) > 0 {
		return
	}
	go func() {
		if err := f.Engines.FreeExport(context.Background(), e.server, e.Handle); err != nil {
			f.attemptFailed(j, e.server, outcome.KVLost, err)
		}
	}()
}

func (f *Forwarder) shun(j *job, c registry.Server) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.readers.BackOff(c.ID, time.Now())
}
