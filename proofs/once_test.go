package proofs

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/standin/fault"
	splatform "github.com/hibiscusspur/hibiscusspur/standin/platform"
	"github.com/hibiscusspur/hibiscusspur/standin/service"
)

// keyedRequest is an unrepeatable request under the idempotency key that all rows share.
func keyedRequest(tokens int) modelRequest {
	return modelRequest{model: unrepeatable, prompt: promptForTokens(tokens, 20, "keyed"), key: "receipt-17"}
}

var onceRows = []struct {
	fault string
	act   func(c *cluster) []answer
	// whole is the expected number of whole answers, code the error code of the last answer.
	whole int
	code  string
}{
	{"same key twice at once through two entries", func(c *cluster) []answer {
		first, second := c.entries[0].begin(keyedRequest(100)), c.entries[1].begin(keyedRequest(100))
		a, b := <-first.done, <-second.done
		if a.whole {
			return []answer{a, b}
		}
		return []answer{b, a}
	}, 1, "idempotency_key_in_use"},
	{"sent again after the answer", func(c *cluster) []answer {
		return []answer{c.entries[0].do(c.t.Context(), keyedRequest(10)), c.entries[1].do(c.t.Context(), keyedRequest(10))}
	}, 1, "idempotency_key_in_use"},
	{"entry killed during the run, sent again", func(c *cluster) []answer {
		p := c.entries[0].begin(keyedRequest(200))
		c.running()
		c.entries[0].proc.kill()
		return []answer{<-p.done, c.entries[1].do(c.t.Context(), keyedRequest(200))}
	}, 0, "idempotency_key_in_use"},
	{"entry killed and replaced, sent again", func(c *cluster) []answer {
		p := c.entries[0].begin(keyedRequest(200))
		c.running()
		c.entries[0].proc.kill()
		c.entries[0].proc.restart()
		a := <-p.done
		c.awaitServing(c.entries[0])
		return []answer{a, c.entries[0].do(c.t.Context(), keyedRequest(200))}
	}, 0, "idempotency_key_in_use"},
	{"sidecar killed and restarted during the run, sent again", func(c *cluster) []answer {
		p := c.entries[0].begin(keyedRequest(200))
		b := c.running()
		b.sidecar.kill()
		b.sidecar.restart()
		return []answer{<-p.done, c.entries[1].do(c.t.Context(), keyedRequest(200))}
	}, 0, "idempotency_key_in_use"},
	{"entry frozen past its lease, sent again, thawed", func(c *cluster) []answer {
		p := c.entries[0].begin(keyedRequest(300))
		c.running()
		c.entries[0].proc.freeze()
		eventually(c.t, leaseBound, "run given up", func() bool { return c.heldCount() == 0 })
		second := c.entries[1].do(c.t.Context(), keyedRequest(300))
		c.entries[0].proc.thaw()
		return []answer{<-p.done, second}
	}, 0, "idempotency_key_in_use"},
	{"store refuses", func(c *cluster) []answer {
		c.storeFault(splatform.Fault{Kind: splatform.Refuse})
		return []answer{c.entries[0].do(c.t.Context(), keyedRequest(10))}
	}, 0, "store_unavailable"},
	{"store hangs", func(c *cluster) []answer {
		c.storeFault(splatform.Fault{Kind: splatform.Hang})
		return []answer{c.entries[0].do(c.t.Context(), keyedRequest(10))}
	}, 0, "store_unavailable"},
	{"store slow", func(c *cluster) []answer {
		c.storeFault(splatform.Fault{Kind: splatform.Delay, Delay: 300 * time.Millisecond})
		return []answer{c.entries[0].do(c.t.Context(), keyedRequest(10))}
	}, 1, ""},
	{"store loses the answer after the write, sent again", func(c *cluster) []answer {
		c.storeFault(splatform.Fault{Kind: splatform.LoseAnswer, Side: splatform.Writes, Count: 1})
		return []answer{c.entries[0].do(c.t.Context(), keyedRequest(10)), c.entries[1].do(c.t.Context(), keyedRequest(10))}
	}, 1, "idempotency_key_in_use"},
	{"decode engine dies, sent again", func(c *cluster) []answer {
		p := c.entries[0].begin(keyedRequest(200))
		c.running().engine.kill()
		return []answer{<-p.done, c.entries[0].do(c.t.Context(), keyedRequest(200))}
	}, 0, "idempotency_key_in_use"},
	{"engine's answer to the start lost and engine silent, sent again", func(c *cluster) []answer {
		onRole(string(engine.RoleDecode), fault.Rule{Kind: fault.LoseAnswer, Op: "decode"})(c)
		onRole(string(engine.RoleDecode), fault.Rule{Kind: fault.Refuse, Op: "resume"})(c)
		return []answer{c.entries[0].do(c.t.Context(), keyedRequest(10)), c.entries[1].do(c.t.Context(), keyedRequest(10))}
	}, 0, "idempotency_key_in_use"},
}

func TestUnrepeatableRunsOnce(t *testing.T) {
	for _, r := range onceRows {
		t.Run(r.fault, func(t *testing.T) {
			runs := -1
			row(t, 5, r.fault, func() string { return fmt.Sprintf("%d runs", runs) })
			c := newCluster(t, options{prefills: 1, decodes: 2, entries: 2, engineArgs: longKVTTL})
			answers := r.act(c)
			runs = c.atMostOnce(answers, r.whole, r.code)
			if r.code == "store_unavailable" {
				assert.Equal(t, runs, 0)
			}
		})
	}
}

var serviceRows = []struct {
	fault string
	act   func(c *cluster, call func(e *entry) serviceReply)
	// calls is the maximum number of calls that the services may have run.
	calls int
}{
	{"receipt, same key twice at once through two entries", func(c *cluster, call func(e *entry) serviceReply) {
		var wg sync.WaitGroup
		for _, e := range c.entries {
			wg.Go(func() { call(e) })
		}
		wg.Wait()
	}, 1},
	{"receipt, service's answer lost, sent again", func(c *cluster, call func(e *entry) serviceReply) {
		c.fault(c.backend("s1"), fault.Rule{Kind: fault.LoseAnswer, Op: "receipt", Count: 1})
		c.fault(c.backend("s2"), fault.Rule{Kind: fault.LoseAnswer, Op: "receipt", Count: 1})
		assert.Equal(c.t, call(c.entries[0]).outcome, "unknown")
		assert.Equal(c.t, call(c.entries[1]).code, "idempotency_key_in_use")
	}, 1},
	{"receipt, sidecar killed during the call, sent again", func(c *cluster, call func(e *entry) serviceReply) {
		var wg sync.WaitGroup
		wg.Go(func() { call(c.entries[0]) })
		var at *backend
		eventually(c.t, startBound, "call started", func() bool { at = c.serviceInCall(); return at != nil })
		at.sidecar.kill()
		wg.Wait()
		call(c.entries[1])
	}, 1},
	{"receipt, links cut during the call", func(c *cluster, call func(e *entry) serviceReply) {
		var wg sync.WaitGroup
		wg.Go(func() { assert.Check(c.t, call(c.entries[0]).status == http.StatusOK) })
		eventually(c.t, startBound, "call started", func() bool { return c.serviceInCall() != nil })
		for _, b := range c.backends {
			b.relay.cut()
		}
		wg.Wait()
	}, 1},
}

func TestServiceCallRunsOnce(t *testing.T) {
	for _, r := range serviceRows {
		t.Run(r.fault, func(t *testing.T) {
			calls := -1
			row(t, 5, r.fault, func() string { return fmt.Sprintf("%d calls done", calls) })
			c := newCluster(t, options{services: 2, entries: 2, serviceArgs: []string{"--work", "500ms"}})
			r.act(c, func(e *entry) serviceReply { return e.receipt("receipt-17") })
			for until := time.Now().Add(lateRunWindow); time.Now().Before(until); time.Sleep(20 * pollInterval) {
				calls = max(calls, c.calls())
			}
			assert.Assert(t, calls <= r.calls && calls > 0, "%d calls", calls)
		})
	}
}

// serviceReply is the response as the caller of a service received it.
type serviceReply struct {
	status        int
	outcome, code string
}

// receipt makes the unrepeatable call of the service under a key.
func (e *entry) receipt(key string) serviceReply {
	req, err := http.NewRequest(http.MethodPost, e.url+"/services/permits/receipts", bytes.NewReader([]byte(`{"permit":17}`)))
	if err != nil {
		return serviceReply{}
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Idempotency-Key", key)
	client := &http.Client{Timeout: callerBound, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return serviceReply{}
	}
	defer func() { _ = res.Body.Close() }()
	data, _ := io.ReadAll(res.Body)
	var a answer
	a.readBody(bytes.NewReader(data))
	return serviceReply{status: res.StatusCode, outcome: a.outcome, code: a.code}
}

// serviceInCall returns a service that has started a call, or nil.
func (c *cluster) serviceInCall() *backend {
	for _, b := range c.backends {
		if s, err := b.serviceState(); err == nil && s.Total[service.OpReceipt] > 0 {
			return b
		}
	}
	return nil
}

// calls counts the unrepeatable calls that the services have run.
func (c *cluster) calls() int {
	n := 0
	for _, b := range c.backends {
		if s, err := b.serviceState(); err == nil {
			n += s.Total[service.OpReceipt]
		}
	}
	return n
}

func (b *backend) serviceState() (service.State, error) {
	var s service.State
	err := getJSON(b.engineURL+service.PathState, &s)
	return s, err
}
