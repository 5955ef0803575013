package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// The failure: one part of prompts crashed each model server that began to generate on it, 31 and 32 servers in two
// spells of a quarter of a minute. No two of the requests were alike, and each digest stood under one termination only.
// By the users' record requests with the part were sent to servers 20 times more after five had terminated under it.

const (
	// crashingPart is the ID of the part that crashes servers, firstPart that of a part that most prompts begin with.
	crashingPart, firstPart = "bad00bad", "f1257000"
	// allowedPartCrashes is how many servers the users allow one part to crash before it has to be recognized;
	// allowedSends requests with it may be sent after that.
	allowedPartCrashes = 5
	// ownTokens is the size of a request's own part of the prompt.
	ownTokens = 500
)

// requestsWithPart returns the number of requests with the crashing part that reached servers.
func (cl *cluster) requestsWithPart() int {
	ids := map[string]bool{}
	for _, c := range cl.calls.Calls() {
		if c.PartWithPrefix(crashingPart) != "" && c.Kind != site.Hold {
			ids[c.ID] = true
		}
	}
	return len(ids)
}

// newPartCluster starts a cluster whose engines crash under a part. The fields are those of the route.
func newPartCluster(t *testing.T, route string) *cluster {
	cl := &cluster{t: t, store: site.NewStore(t), calls: site.NewLog(), behaviour: site.StallStream, crashPart: crashingPart}
	cl.start(route)
	return cl
}

// sendPart sends a request whose prompt has these parts and one of its own, and reads the answer.
func (p *process) sendPart(t *testing.T, id, parts string) (status int) {
	t.Helper()
	res := p.streamOfParts(t, id, "question "+id, fmt.Sprintf("%s,%s:%d", parts, "0a"+id, ownTokens))
	_, _ = io.Copy(io.Discard, res.Body)
	assert.NilError(t, res.Body.Close())
	return res.StatusCode
}

// begins sends a sound request and reports whether it begins; it leaves after the first bytes.
func (p *process) begins(t *testing.T, id, parts string) bool {
	t.Helper()
	res := p.streamOfParts(t, id, "sound "+id, fmt.Sprintf("%s,%s:%d", parts, "0b"+id, ownTokens))
	_, err := io.ReadFull(res.Body, make([]byte, 1))
	assert.NilError(t, res.Body.Close())
	return res.StatusCode == http.StatusOK && err == nil
}

// bystanderTries bounds the tries to start a bystander, which may itself be quarantined by mistake.
const bystanderTries = 200

// startBystander starts a sound stream that runs until its engine ends; it shares all parts but the crashing one.
func (cl *cluster) startBystander(p *process, id, parts string) io.Closer {
	cl.t.Helper()
	var body io.Closer
	for range bystanderTries {
		res := p.streamOfParts(cl.t, id, "a harmless question", parts+",0d0d0d0d:500")
		body = res.Body
		if res.StatusCode == http.StatusOK {
			break
		}
		assert.NilError(cl.t, body.Close())
	}
	return body
}

// TestPartThatCrashesServers: after five servers have terminated under requests with one part in common, no two of them
// alike, and the gateways had the time to report it to each other, three more requests with it reach servers at most, new
// ones or repeats, at whichever gateways. Sound requests that share the other parts run next to each of them.
func TestPartThatCrashesServers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, route string
		// parts returns the parts of the n-th request, others those of a sound one.
		parts, others func(n int) string
	}{
		{
			"first place", `"attempts":1`,
			func(n int) string { return fmt.Sprintf("%s:200,5e55%04x:300", crashingPart, n) },
			func(n int) string { return fmt.Sprintf("%s:200,5e55%04x:300", firstPart, n) },
		},
		{
			"middle place", `"attempts":1`,
			func(n int) string { return fmt.Sprintf("%s:200,%s:300,5e55%04x:300", firstPart, crashingPart, n) },
			func(n int) string { return fmt.Sprintf("%s:200,5e55%04x:300", firstPart, n) },
		},
		{
			"last place but one, other parts alike", `"attempts":1`,
			func(int) string { return fmt.Sprintf("%s:200,5e550001:300,%s:300", firstPart, crashingPart) },
			func(int) string { return fmt.Sprintf("%s:200,5e550001:300", firstPart) },
		},
		{
			"repeats of a resumable route", `"attempts":3,"resumable":true`,
			func(n int) string { return fmt.Sprintf("%s:200,%s:300,5e55%04x:300", firstPart, crashingPart, n) },
			func(n int) string { return fmt.Sprintf("%s:200,5e55%04x:300", firstPart, n) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cl := newPartCluster(t, c.route)
			gateways := startGateways(t, cl.store)
			n := 0
			send := func() {
				p, q := gateways[n%len(gateways)], gateways[(n+1)%len(gateways)]
				bystanders := []io.Closer{
					cl.startBystander(p, fmt.Sprint("near-", n), c.others(n)), cl.startBystander(q, fmt.Sprint("far-", n), c.others(n)),
				}
				p.sendPart(t, fmt.Sprint("deadly-", n), c.parts(n))
				for _, b := range bystanders {
					_ = b.Close() // Closed already if it did not begin.
				}
				n++
			}
			for ; cl.crashes() < allowedPartCrashes && n < 3*allowedPartCrashes; send() {
			}
			// The users' time limit is part of the scenario; nothing is awaited with it.
			<-time.After(propagationTime)
			before := cl.requestsWithPart()
			for range 9 {
				send()
			}
			more := cl.requestsWithPart() - before
			assert.Check(t, more <= allowedSends, "requests with one part were sent to servers %d times more; %d servers terminated in all", more, cl.crashes())
		})
	}
}

// TestSoundRequestsBesidePartThatCrashesServers: while requests with a part that crashes servers go on coming, from six
// seconds after the fifth termination on, sound requests with the same first part begin at the first attempt at least
// half as often as before.
func TestSoundRequestsBesidePartThatCrashesServers(t *testing.T) {
	t.Parallel()
	cl := newPartCluster(t, `"attempts":1`)
	cl.behaviour, cl.restartTime = site.Answer, 3*time.Second
	cl.answerOthers()
	for range 2 {
		cl.addEngine()
	}
	gateways := startGateways(t, cl.store)
	sound := func(n int) bool {
		return gateways[n%len(gateways)].begins(t, fmt.Sprint("sound-", n), fmt.Sprintf("%s:200,5e55%04x:300", firstPart, n%4))
	}
	waitUntil(t, "an engine", func() bool { return sound(0) })
	var crashing sync.WaitGroup
	crash := func(n int) {
		crashing.Go(func() {
			gateways[(n+1)%len(gateways)].sendPart(t, fmt.Sprint("deadly-", n), fmt.Sprintf("%s:200,%s:300,5e55%04x:300", firstPart, crashingPart, n%4))
		})
	}
	const interval, sends = 200 * time.Millisecond, 30
	tick := time.NewTicker(interval)
	defer tick.Stop()
	begun := 0
	for n := 1; n <= sends; n++ {
		crash(n)
		sound(n)
		<-tick.C
	}
	// The users' time limit is part of the scenario; nothing is awaited with it.
	<-time.After(2 * propagationTime)
	for n := sends + 1; n <= 2*sends; n++ {
		crash(n)
		if sound(n) {
			begun++
		}
		<-tick.C
	}
	crashing.Wait()
	assert.Check(t, 2*begun >= sends, "%d of %d sound requests with the same first part began; %d servers terminated", begun, sends, cl.crashes())
}
