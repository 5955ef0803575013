package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	port "github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// Control is a client of a stand-in's control interface.
type Control struct {
	base string
	hc   *http.Client
}

// NewControl returns a client of the stand-in at baseURL. It is safe for
// concurrent use. A nil hc means http.DefaultClient.
func NewControl(baseURL string, hc *http.Client) *Control {
	if hc == nil {
		hc = http.DefaultClient
	}
	return &Control{base: baseURL, hc: hc}
}

// SetFault activates a fault and returns it with its ID.
func (c *Control) SetFault(ctx context.Context, f Fault) (Fault, error) {
	var set Fault
	err := c.sendJSON(ctx, PathFault, f, &set)
	return set, err
}

// ClearFault removes the fault with an ID, or all faults if id is zero.
func (c *Control) ClearFault(ctx context.Context, id int) error {
	q := url.Values{"id": {strconv.Itoa(id)}}
	return c.send(ctx, http.MethodDelete, PathFault, q, nil, nil)
}

// Counters returns the counters by port.
func (c *Control) Counters(ctx context.Context) (map[memory.Port]PortCounters, error) {
	var m map[memory.Port]PortCounters
	err := c.send(ctx, http.MethodGet, PathCounters, nil, nil, &m)
	return m, err
}

// SetVM adds a VM or changes its state.
func (c *Control) SetVM(ctx context.Context, vm port.VM) error {
	return c.sendJSON(ctx, PathVM, vm, nil)
}

// RemoveVM removes a VM from the list.
func (c *Control) RemoveVM(ctx context.Context, id string) error {
	return c.send(ctx, http.MethodDelete, PathVM, url.Values{"id": {id}}, nil, nil)
}

// SetVMLag sets the delay until the list of VMs shows a change.
func (c *Control) SetVMLag(ctx context.Context, lag time.Duration) error {
	return c.sendJSON(ctx, PathVMLag, VMLag{Seconds: lag.Seconds()}, nil)
}

// PutWeights stores the weights of a model version.
func (c *Control) PutWeights(ctx context.Context, model, version string, body []byte) error {
	q := url.Values{port.ParamModel: {model}, port.ParamVersion: {version}}
	return c.send(ctx, http.MethodPut, PathModel, q, body, nil)
}

func (c *Control) sendJSON(ctx context.Context, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return c.send(ctx, http.MethodPost, path, nil, body, answer)
}

// send makes a call and decodes its answer into answer, unless that is nil.
func (c *Control) send(ctx context.Context, method, path string, q url.Values, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+q.Encode(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusBadRequest {
		return merry.Append(port.ErrInvalid, string(text))
	}
	if resp.StatusCode != http.StatusOK {
		return merry.Errorf("control call %s %s: status %d: %s", method, path, resp.StatusCode, text)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(text, answer)
}
