package forward_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// TestExportsTakeMemory guards against prompts that a prefill engine rejects for lack of memory: it holds each prompt
// until the decode engine has fetched it, and the gateway counted it only until it was prefilled. With no memory left at
// the engine that it prefers, a gateway sends the next prompt to another one, and again to this one once the first prompt
// was fetched.
func TestExportsTakeMemory(t *testing.T) {
	w := newEngineEnv(t)
	w.add(t, "pre2", "llm", registry.Prefill)
	var mu sync.Mutex
	var prefills []string
	decoding := make(chan struct{}, 10)
	w.log.Watch(func(c site.Call) {
		mu.Lock()
		defer mu.Unlock()
		switch c.Kind {
		case site.Prefill:
			prefills = append(prefills, c.Server)
		case site.Decode:
			decoding <- struct{}{}
		}
	})
	post := func() { assert.Equal(t, w.post(t, "/draft/1", site.Tokens, "6000,200").status, 200) }
	post()
	post()
	assert.Equal(t, prefills[1], prefills[0], "the first one was fetched")
	<-decoding
	<-decoding

	w.servers["d1"].Behave(site.NeverAnswer)
	w.servers["d2"].Behave(site.NeverAnswer)
	done := make(chan answer, 1)
	go func() { done <- w.post(t, "/draft/2", site.Tokens, "6000,200") }()
	<-decoding
	w.servers["d1"].Behave(site.Answer)
	w.servers["d2"].Behave(site.Answer)
	post()
	w.servers["d1"].CloseClientConnections()
	w.servers["d2"].CloseClientConnections()
	<-done
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, prefills[2], prefills[0])
	assert.Check(t, prefills[3] != prefills[0], "%v", prefills)
}

// TestReportedExportsTakeMemory: the same with a prompt that another gateway has prefilled there.
func TestReportedExportsTakeMemory(t *testing.T) {
	w := newEngineEnv(t)
	w.add(t, "pre2", "llm", registry.Prefill)
	assert.Equal(t, w.post(t, "/draft/1", site.Tokens, "6000,200").status, 200)
	first := w.log.Calls()[1]
	assert.Equal(t, first.Kind, site.Prefill)
	w.fwd.SetPeerLoads(map[string]kvmemory.Load{first.Server: {Held: 6000}})
	assert.Equal(t, w.post(t, "/draft/2", site.Tokens, "6000,200").status, 200)
	for _, c := range w.log.Calls()[3:] {
		assert.Check(t, c.Server != first.Server, "%s", c.Kind)
	}
}

// TestPromptsWithoutTimeAreNotSent guards against prefills whose result comes after the deadline: a prompt that neither a
// prefill engine nor the decode engine can prefill in time is sent nowhere, and its request is rejected as not run.
func TestPromptsWithoutTimeAreNotSent(t *testing.T) {
	for _, c := range []struct {
		name, tokens, deadline string
		backlog                int
		kind                   string
	}{
		{"no memory, the decode engine prefills", "4000,200", "20000", 9000, site.Decode},
		{"too long for any engine", "4000,200", "75", 0, ""},
		{"too long for the decode engine", "9000,200", "300", 9000, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newEngineEnv(t)
			assert.Equal(t, w.post(t, "/draft/1", site.Tokens, "6000,200").status, 200)
			before := len(w.log.Calls())
			w.fwd.SetPeerLoads(map[string]kvmemory.Load{"pre": {Tokens: c.backlog}})
			got := w.post(t, "/draft/1", site.Tokens, c.tokens, site.Deadline, c.deadline)
			assert.Check(t, c.kind != "" || got.status == 503, "%d", got.status)
			for _, call := range w.log.Calls()[before:] {
				assert.Check(t, call.Kind != site.Prefill && (call.Kind != site.Decode || c.kind == site.Decode), "%s", call.Kind)
			}
		})
	}
}
