package engine_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	standin "github.com/hibiscusspur/hibiscusspur/standin/engine"
	"github.com/hibiscusspur/hibiscusspur/standin/fault"
	"github.com/hibiscusspur/hibiscusspur/standin/server"
)

const model = "m"

// fixture is a stand-in engine called through the HTTP driver over loopback.
type fixture struct {
	engine.Engine
	node    *standin.Node
	faults  *fault.Set
	handler *standin.Handler
}

func newFixture(t *testing.T, role engine.Role, change func(*standin.Config)) fixture {
	t.Helper()
	cfg := standin.DefaultConfig()
	cfg.Role = role
	cfg.ID = string(role)
	cfg.Models = []string{model}
	cfg.StepBase = time.Millisecond
	cfg.PrefillRate = 1e6
	cfg.KVTTL = time.Minute
	cfg.Retain = time.Minute
	addr := freeAddress(t)
	cfg.Source = "http://" + addr
	if change != nil {
		change(&cfg)
	}
	quiet := &log.Logger{Level: log.PanicLevel}
	httpserver.RouteLogs(quiet)
	f := fixture{Engine: engine.NewHTTP(cfg.Source, nil), node: standin.NewNode(cfg), faults: fault.NewSet(quiet)}
	f.handler = standin.NewHandler(f.node, f.faults)
	srv, err := server.Start(addr, f.handler)
	assert.NilError(t, err)
	t.Cleanup(func() {
		f.faults.Clear()
		f.node.Close()
		srv.Close()
	})
	return f
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (f fixture) state() (out standin.State) {
	f.node.Do(func(c *standin.Core) { out = c.State() })
	return out
}

// drain reads a stream until its end.
func drain(s engine.Stream) (tokens []string, last engine.StreamEvent, err error) {
	defer s.Close()
	for {
		e, err := s.Next()
		if err != nil || e.Done {
			return tokens, e, err
		}
		tokens = append(tokens, e.Token)
	}
}

func request(id, prompt string) engine.DecodeRequest {
	return engine.DecodeRequest{RunID: id, Owner: "o", Model: model, Prompt: prompt}
}

const longPrompt = "endless [[len=100000]]"

func TestKVCacheHandover(t *testing.T) {
	p, d := newFixture(t, engine.RolePrefill, nil), newFixture(t, engine.RoleDecode, nil)
	ctx := t.Context()
	prompt := strings.Repeat("dossier ", 100) + "[[len=30]]"
	kv, err := p.Prefill(ctx, engine.PrefillRequest{RunID: "r", Owner: "o", Model: model, Prompt: prompt})
	assert.NilError(t, err)
	assert.Equal(t, kv.PromptTokens, engine.EstimateTokens(prompt))
	listed, err := p.Exports(ctx)
	assert.NilError(t, err)
	assert.Equal(t, listed[0].Owner, "o")

	req := request("r", prompt)
	req.Handle, req.Source, req.MaxTokens = kv.Handle, kv.Source, 20
	s, err := d.Decode(ctx, req)
	assert.NilError(t, err)
	tokens, last, err := drain(s)
	assert.NilError(t, err)
	assert.DeepEqual(t, tokens, standin.Answer(model, prompt, 20))
	assert.DeepEqual(t, last, engine.StreamEvent{
		Position: 20, Done: true, Total: 20, FinishReason: standin.FinishLength, PromptTokens: kv.PromptTokens,
	})
	_, err = s.Next()
	assert.Assert(t, err != nil)
	assert.Equal(t, p.state().Counters.PrefillUsed, kv.PromptTokens)

	req.RunID = "again"
	_, err = d.Decode(ctx, req)
	assert.ErrorIs(t, err, engine.ErrNotFound, "the KV cache was already handed over")
	assert.Error(t, err, `not found in engine: source engine: KV handle "`+kv.Handle+`"`)
	_, listedAsAccepted := d.state().Accepted["again"]
	assert.Assert(t, !listedAsAccepted)
}

func TestResumedAnswerEqualsUninterrupted(t *testing.T) {
	prompt := "question [[len=40]]"
	want := standin.Answer(model, prompt, 0)
	for name, resume := range map[string]func(t *testing.T, f fixture) (engine.Stream, error){
		"same run": func(t *testing.T, f fixture) (engine.Stream, error) { return f.Resume(t.Context(), "r", 10) },
		"another engine": func(t *testing.T, _ fixture) (engine.Stream, error) {
			req := request("r", prompt)
			req.Position, req.Prior = 10, strings.Join(want[:10], "")
			return newFixture(t, engine.RoleMixed, nil).Decode(t.Context(), req)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, engine.RoleMixed, nil)
			s, err := f.Decode(t.Context(), request("r", prompt))
			assert.NilError(t, err)
			for range 10 {
				_, err = s.Next()
				assert.NilError(t, err)
			}
			assert.NilError(t, s.Close())
			s, err = resume(t, f)
			assert.NilError(t, err)
			rest, last, err := drain(s)
			assert.NilError(t, err)
			assert.DeepEqual(t, rest, want[10:])
			assert.Equal(t, last.Total, len(want))
		})
	}
}

func TestCancelEndsTheRunAndItsStream(t *testing.T) {
	f := newFixture(t, engine.RoleMixed, nil)
	ctx := t.Context()
	s, err := f.Decode(ctx, request("r", longPrompt))
	assert.NilError(t, err)
	_, err = s.Next()
	assert.NilError(t, err)
	runs, err := f.Runs(ctx)
	assert.NilError(t, err)
	assert.Assert(t, cmp.Len(runs, 1))
	assert.Equal(t, runs[0].Phase, engine.PhaseDecode)
	assert.NilError(t, f.Cancel(ctx, "r"))
	assert.NilError(t, f.Cancel(ctx, "r"))
	_, _, err = drain(s)
	assert.ErrorIs(t, err, engine.ErrNotFound)
	runs, err = f.Runs(ctx)
	assert.NilError(t, err)
	assert.Assert(t, cmp.Len(runs, 0))
}

func TestExpiredKV(t *testing.T) {
	p := newFixture(t, engine.RolePrefill, func(c *standin.Config) { c.KVTTL = time.Nanosecond })
	d := newFixture(t, engine.RoleDecode, nil)
	kv, err := p.Prefill(t.Context(), engine.PrefillRequest{RunID: "r", Model: model, Prompt: "x"})
	assert.NilError(t, err)
	req := request("r", "x")
	req.Handle, req.Source = kv.Handle, kv.Source
	_, err = d.Decode(t.Context(), req)
	assert.ErrorIs(t, err, engine.ErrNotFound)
	assert.Equal(t, p.state().Counters.PrefillExpired, 1)
}

func TestRefusals(t *testing.T) {
	f := newFixture(t, engine.RoleMixed, func(c *standin.Config) { c.DecodeSlots, c.MaxWaiting, c.CheckFence = 1, 1, true })
	ctx := t.Context()
	s, err := f.Decode(ctx, request("known", longPrompt))
	assert.NilError(t, err)
	defer s.Close()
	assert.NilError(t, f.Order(ctx, engine.Order{Fence: 2, Kind: engine.OrderLoadModel, Model: "n"}))
	decode := func(r engine.DecodeRequest) func() error {
		return func() error {
			_, err := f.Decode(ctx, r)
			return err
		}
	}
	other := request("other", "x")
	other.Model = "unheard"
	wrongPrior := request("prior", "x")
	wrongPrior.Position, wrongPrior.Prior = 3, "not the answer"
	for _, tc := range []struct {
		name string
		call func() error
		want error
	}{
		{"second decode of a run", decode(request("known", longPrompt)), engine.ErrExists},
		{"model not loaded", decode(other), engine.ErrInvalid},
		{"prior text of another answer", decode(wrongPrior), engine.ErrInvalid},
		{"resume of an unknown run", func() error { _, err := f.Resume(ctx, "unknown", 0); return err }, engine.ErrNotFound},
		{"resume beyond the answer", func() error { _, err := f.Resume(ctx, "known", 1e6); return err }, engine.ErrInvalid},
		{"old fencing number", func() error { return f.Order(ctx, engine.Order{Fence: 1, Kind: engine.OrderRole}) }, engine.ErrFenced},
		{"unknown handle is released", func() error { return f.ReleaseKV(ctx, "unknown") }, nil},
		{"unknown run is cancelled", func() error { return f.Cancel(ctx, "unknown") }, nil},
		{"one request is queued", func() error {
			waits, err := f.Decode(ctx, request("waits", "x"))
			if err == nil {
				return waits.Close()
			}
			return err
		}, nil},
		{"queue is full", decode(request("late", "x")), engine.ErrFull},
	} {
		assert.Assert(t, cmp.ErrorIs(tc.call(), tc.want), tc.name)
	}
	info, err := f.Info(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, info.Models, []string{model, "n"})
}

// TestFaults injects one fault and checks which error the caller gets, whether the
// engine accepted the run, and that an accepted run can be resumed.
func TestFaults(t *testing.T) {
	prompt := "question [[len=20]]"
	for _, tc := range []struct {
		rule   fault.Rule
		op     func(ctx context.Context, f fixture) error
		want   error
		taken  bool
		tokens int
	}{
		{fault.Rule{Kind: fault.Refuse, Op: standin.OpDecode}, decodeAll, engine.ErrUnavailable, false, 0},
		{fault.Rule{Kind: fault.Hang, Op: standin.OpDecode}, decodeAll, engine.ErrIndeterminate, false, 0},
		{fault.Rule{Kind: fault.LoseAnswer, Op: standin.OpDecode}, decodeAll, engine.ErrIndeterminate, true, 0},
		{fault.Rule{Kind: fault.Silent, Op: standin.OpDecode}, decodeAll, engine.ErrIndeterminate, true, 0},
		{fault.Rule{Kind: fault.Silent, Op: standin.OpDecode, AfterTokens: 3}, decodeAll, context.DeadlineExceeded, true, 3},
		{fault.Rule{Kind: fault.Cut, Op: standin.OpDecode, AfterTokens: 3}, decodeAll, io.ErrUnexpectedEOF, true, 3},
		{fault.Rule{Kind: fault.Cut, Op: standin.OpDecode, AfterTokens: 20}, decodeAll, io.ErrUnexpectedEOF, true, 20},
		{fault.Rule{Kind: fault.Delay, Op: standin.OpDecode, DelayMillis: 1}, decodeAll, nil, true, 20},
		{fault.Rule{Kind: fault.LoseAnswer, Op: standin.OpCancel}, cancelOne, engine.ErrIndeterminate, false, 0},
		{fault.Rule{Kind: fault.Refuse, Op: standin.OpCancel}, cancelOne, engine.ErrUnavailable, false, 0},
		{fault.Rule{Kind: fault.LoseAnswer, Op: standin.OpRuns}, listRuns, engine.ErrUnavailable, false, 0},
		{fault.Rule{Kind: fault.Hang}, listRuns, context.DeadlineExceeded, false, 0},
	} {
		t.Run(string(tc.rule.Kind)+" "+tc.rule.Op, func(t *testing.T) {
			f := newFixture(t, engine.RoleMixed, nil)
			tc.rule.Count = 1
			assert.NilError(t, f.faults.Add(tc.rule))
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			defer cancel()
			var got *streamError
			err := tc.op(ctx, f)
			assert.Assert(t, cmp.ErrorIs(err, tc.want))
			assert.Equal(t, f.state().Accepted["r"] > 0, tc.taken)
			if errors.As(err, &got) {
				assert.Equal(t, got.tokens, tc.tokens)
			}
			if !tc.taken {
				return
			}
			s, err := f.Resume(t.Context(), "r", tc.tokens)
			assert.NilError(t, err, "the run continues without its stream")
			rest, _, err := drain(s)
			assert.NilError(t, err)
			assert.DeepEqual(t, append([]string{}, rest...), standin.Answer(model, prompt, 0)[tc.tokens:])
		})
	}
}

// streamError is the error that ended a stream and the number of tokens before it.
type streamError struct {
	tokens int
	err    error
}

func (e *streamError) Error() string { return e.err.Error() }
func (e *streamError) Unwrap() error { return e.err }

func decodeAll(ctx context.Context, f fixture) error {
	s, err := f.Decode(ctx, request("r", "question [[len=20]]"))
	if err != nil {
		return err
	}
	tokens, _, err := drain(s)
	if err != nil {
		return &streamError{len(tokens), err}
	}
	return nil
}

func cancelOne(ctx context.Context, f fixture) error { return f.Cancel(ctx, "r") }

func listRuns(ctx context.Context, f fixture) error {
	_, err := f.Runs(ctx)
	return err
}

// TestLostCancelHasEffect checks that a cancel takes effect although its answer is
// lost, and may be repeated.
func TestLostCancelHasEffect(t *testing.T) {
	f := newFixture(t, engine.RoleMixed, nil)
	s, err := f.Decode(t.Context(), request("r", longPrompt))
	assert.NilError(t, err)
	defer s.Close()
	assert.NilError(t, f.faults.Add(fault.Rule{Kind: fault.LoseAnswer, Op: standin.OpCancel, Count: 1}))
	assert.ErrorIs(t, f.Cancel(t.Context(), "r"), engine.ErrIndeterminate)
	assert.Assert(t, cmp.Len(f.state().Runs, 0))
	assert.NilError(t, f.Cancel(t.Context(), "r"))
}

func TestUnreachableEngineIsUnavailable(t *testing.T) {
	srv := httptest.NewServer(nil)
	srv.Close()
	e := engine.NewHTTP(srv.URL, nil)
	_, err := e.Decode(t.Context(), request("r", "x"))
	assert.ErrorIs(t, err, engine.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, engine.ErrIndeterminate))
}

// TestRunContinuesAfterStreamIsClosed checks that the run continues after the client
// closes its stream, and that the HTTP handler of the stream returns.
func TestRunContinuesAfterStreamIsClosed(t *testing.T) {
	f := newFixture(t, engine.RoleMixed, nil)
	s, err := f.Decode(t.Context(), request("r", longPrompt))
	assert.NilError(t, err)
	event, err := s.Next()
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		runs := f.state().Runs
		if len(runs) == 1 && runs[0].Position > event.Position+20 && f.handler.Streams() == 0 {
			return poll.Success()
		}
		return poll.Continue("runs %v, %d streams", runs, f.handler.Streams())
	}, poll.WithDelay(time.Millisecond))
}
