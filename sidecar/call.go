package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/hibiscusspur/hibiscusspur/eventstream"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/response"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// serviceCaller makes calls to the plain service. Each call uses a new connection,
// because net/http retries a request on its own when a reused connection turns out
// to be closed, which must never happen to an unrepeatable call.
type serviceCaller struct {
	base   string
	client *http.Client
	limit  int64
}

var errReplyTooLarge = errors.New("reply larger than the limit")

func newServiceCaller(base string, limit int64) *serviceCaller {
	return &serviceCaller{
		base:  base,
		limit: limit,
		client: &http.Client{
			Transport:     &http.Transport{DisableKeepAlives: true},
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
	res, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, c.limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.limit {
		return nil, errReplyTooLarge
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
