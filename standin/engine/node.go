package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

const peerTimeout = 2 * time.Second

// Node runs a Core in real time and makes the calls to other engines that the core
// requests. It is safe for concurrent use.
type Node struct {
	mu         sync.Mutex
	core       *Core
	timer      *time.Timer
	httpClient *http.Client
	wg         sync.WaitGroup
	ctx        context.Context
	stop       context.CancelFunc
}

// NewNode starts an engine, which runs until Close.
func NewNode(cfg Config) *Node {
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		core: NewCore(cfg, time.Now()), ctx: ctx, stop: stop,
		httpClient: &http.Client{Timeout: peerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	n.timer = time.AfterFunc(time.Hour, func() { n.Do(func(*Core) {}) })
	n.timer.Stop()
	return n
}

// Close stops the engine and waits for its calls to other engines.
func (n *Node) Close() {
	n.stop()
	n.mu.Lock()
	n.timer.Stop()
	n.mu.Unlock()
	n.wg.Wait()
	n.httpClient.CloseIdleConnections()
}

// Do advances the core to the present and runs f on it. f must not block.
func (n *Node) Do(f func(c *Core)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	n.core.Advance(time.Now())
	f(n.core)
	for _, a := range n.core.takeActions() {
		n.wg.Add(1)
		go n.call(a)
	}
	if at, ok := n.core.NextAt(); ok {
		n.timer.Reset(time.Until(at))
	}
}

func (n *Node) call(a action) {
	defer n.wg.Done()
	switch a.kind {
	case actionClaim:
		reply, err := n.claim(a)
		n.Do(func(c *Core) { c.Claimed(a.runID, reply, err) })
	case actionComplete:
		err := n.complete(a)
		n.Do(func(c *Core) { c.Confirmed(a.runID, err) })
	}
}

func (n *Node) claim(a action) (reply ClaimReply, err error) {
	if n.isOwn(a.source) {
		n.Do(func(c *Core) { reply, err = c.Claim(a.claim) })
		return reply, err
	}
	err = n.post(a.source+engine.PathClaim, a.claim, &reply)
	return reply, err
}

func (n *Node) complete(a action) (err error) {
	if n.isOwn(a.source) {
		n.Do(func(c *Core) { err = c.Complete(a.claim.Handle) })
		return err
	}
	return n.post(a.source+engine.PathComplete, a.claim, nil)
}

func (n *Node) isOwn(source string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return source == n.core.cfg.Source
}

// post calls another engine. For the importing run, an unreachable engine is the
// same as a lost KV cache, so post returns ErrNotFound.
func (n *Node) post(url string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(n.ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("%w: %v", engine.ErrInvalid, err)
	}
	resp, err := n.httpClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: source engine: %v", engine.ErrNotFound, err)
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: source engine: %v", engine.ErrNotFound, err)
	}
	if resp.StatusCode == http.StatusOK && out != nil {
		return json.Unmarshal(data, out)
	}
	if resp.StatusCode/100 == 2 {
		return nil
	}
	var e engine.ErrorBody
	if json.Unmarshal(data, &e) != nil || e.Code == engine.CodeUnavailable {
		return fmt.Errorf("%w: source engine: status %d", engine.ErrNotFound, resp.StatusCode)
	}
	return fmt.Errorf("%w: source engine: %s", e.Code.Err(), e.Message)
}
