package proofs

import (
	"fmt"
	"sync"
	"time"
)

// partKinds are parts of prompts that crash servers, and most requests gathered at one gateway.
func (x *soaker) partKinds() []faultKind {
	return []faultKind{
		{"part crashes servers", func(i int) (string, func()) { x.w.crashing.beginPart(uint64(i)); return "", nil }},
		{"requests gathered at one gateway", func(i int) (string, func()) { return x.gather(i) }},
	}
}

const (
	// gatheredOneIn is how many requests there are for each that comes to any gateway, while the others come to one.
	gatheredOneIn = 10
	// gatheredClients is the number of further clients that open a connection for each request meanwhile.
	gatheredClients = 20
	// gatheredFor is how long requests are gathered at one gateway, before they are at the next.
	gatheredFor = 1200 * time.Millisecond
)

// gathering names the fault of which there is one at a time.
const gathering = "gathering"

// gather has most requests, and many more than usual, arrive at one gateway and then at the next one, which shuts down when
// the fault ends.
func (x *soaker) gather(i int) (string, func()) {
	if !x.reserve(gathering) {
		return "", nil
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range gatheredClients {
		clients.Go(func() { x.w.gatheredClient(fmt.Sprintf("gathered-%d-%d", i, n), stop) })
	}
	x.w.gathered.Store(x.gateway(i))
	second := time.AfterFunc(gatheredFor, func() { x.w.gathered.Store(x.gateway(i + 1)) })
	return gathering, func() {
		second.Stop()
		if id, end := x.shutDown(x.gateway(i + 1).proc); end != nil {
			time.Sleep(gatheredFor)
			end()
			x.release(id)
		}
		x.w.gathered.Store(nil)
		close(stop)
		clients.Wait()
	}
}

// gatheredClient sends calls on connections of their own to the gateway at which requests gather.
func (w *gatewayObserver) gatheredClient(name string, stop <-chan struct{}) {
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(maxClientInterval / 2):
		}
		if g := w.gathered.Load(); g != nil {
			w.sendRecorded(g, gatewayRequest{id: fmt.Sprint(name, "-", k), route: "safe", fresh: true})
		}
	}
}
