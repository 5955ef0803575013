package sidecar

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"

	"github.com/hibiscusspur/hibiscusspur/eventstream"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/response"
	"github.com/hibiscusspur/hibiscusspur/upstream"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// serviceCaller makes calls to the plain service. Each call uses a new connection, since a reused one may be closed as a
// call is sent on it, which then counts as one that may have run.
type serviceCaller struct {
	base   string
	client *http.Client
	limit  int64
}

// errEncoded means that a reply's body is not the one that was asked for: no call asks for an encoding.
var errEncoded = errors.New("reply with an encoding")

func newServiceCaller(base string, limit int64) *serviceCaller {
	return &serviceCaller{
		base:  base,
		limit: limit,
		client: &http.Client{
			Transport:     upstream.NewTransport(upstream.New(upstream.Options{MaxIdlePerServer: upstream.NoIdle}), &http.Transport{DisableKeepAlives: true}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

func (c *serviceCaller) do(ctx context.Context, m *wire.Call) (*wire.Reply, error) {
	req, err := http.NewRequestWithContext(ctx, m.GetMethod(), c.base+m.GetPath(), bytes.NewReader(m.GetBody()))
	if err != nil {
		return nil, err
	}
	for _, h := range m.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	req.Header.Set("Connection", "close")
	res, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if encoding := res.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return nil, errEncoded
	}
	body, err := response.ReadBody(res.Body, c.limit)
	if err != nil {
		return nil, err
	}
	if response.FramingOf(res) == response.FramedByConnection {
		if err := eventstream.CheckBody(res.Header.Get("Content-Type"), body); err != nil {
			return nil, err
		}
	}
	reply := &wire.Reply{Ref: m.GetRef(), Status: uint32(res.StatusCode), Body: body}
	for name, values := range res.Header {
		for _, v := range values {
			reply.Headers = append(reply.Headers, &wire.Header{Name: name, Value: strings.ToValidUTF8(v, "\ufffd")})
		}
	}
	return reply, nil
}

// call executes one call to the plain service.
func (w *worker) call(m *wire.Call) {
	reply, err := w.s.caller.do(w.ctx, m)
	if err != nil {
		w.fail(wire.Stage_STAGE_CALL, callOutcome(err), err)
		return
	}
	w.locked(func() {
		w.s.losses.workBegan()
		w.s.finish(w.r, &wire.SidecarFrame{Body: &wire.SidecarFrame_Reply{Reply: reply}})
	})
}

// callOutcome returns NotRun only if no connection to the service was made.
func callOutcome(err error) outcome.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.Refuse(outcome.EngineLost, refusalRetryAfter)
	}
	return outcome.Indeterminate(outcome.EngineLost, "")
}
