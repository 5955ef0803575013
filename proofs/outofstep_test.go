package proofs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// resumable sends a request on the route whose streams may be resumed; headers are names and values.
func (c *gatewayCluster) resumable(ctx context.Context, g *clusterGateway, key, id string, headers ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+"/resume/"+id, strings.NewReader("question"))
	assert.NilError(c.t, err)
	r.Host = routeHost
	for i, h := 0, append(headers, site.RequestID, id, site.Credentials, "Token "+key, site.Tokens, "1000,50", site.Deadline, strconv.Itoa(streamPatience)); i < len(h); i += 2 {
		r.Header.Set(h[i], h[i+1])
	}
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
}

// versionOf returns the software version of the engine that ran a request; empty if none did.
func (c *gatewayCluster) versionOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.log.Calls() {
		if call.Kind == site.Decode && call.ID == id && !call.Refused {
			return c.versions[call.Server]
		}
	}
	return ""
}

// TestGatewayOutOfStepDuringARelease guards against streams that begin at a new version through other gateways while one
// stands still, or is cut off the store, and that go on at the version before once they are taken up there.
func TestGatewayOutOfStepDuringARelease(t *testing.T) {
	// The first gateway reads the list for all, the last does not.
	const streams, reader, other = 12, 0, 2
	type way struct{ begin, end func(g *clusterGateway) }
	for name, w := range map[string]way{
		"stands still":      {func(g *clusterGateway) { g.proc.freeze() }, func(g *clusterGateway) { g.proc.thaw() }},
		"cut off the store": {func(g *clusterGateway) { g.store.block() }, func(g *clusterGateway) { g.store.unblock() }},
	} {
		for _, victim := range []int{reader, other} {
			t.Run(fmt.Sprint(name, " ", victim), func(t *testing.T) {
				c := newGatewayCluster(t, 3)
				old := c.all()
				for _, s := range old {
					if s.stage == registry.Decode {
						s.Behave(site.SlowStream)
					}
				}
				key, out := c.keys.use(), c.gateways[victim]
				// From then on a gateway takes what it has seen for all that there is.
				time.Sleep(streamversion.Window + 2*time.Second)
				w.begin(out)
				c.nextSoftware()
				for range 2 {
					c.addServer(modelService, registry.Decode).Behave(site.SlowStream)
				}
				time.Sleep(2 * time.Second)
				for _, s := range old {
					s.SetFull(true)
				}
				var begun []string
				for n := range streams {
					first := c.gateways[(victim+1+n%2)%3]
					id := fmt.Sprint("first-", n)
					ctx, leave := context.WithCancel(t.Context())
					res, err := c.resumable(ctx, first, key, id)
					assert.NilError(t, err)
					_, err = io.ReadFull(res.Body, make([]byte, 2*len("id: 1\ndata: token 1\n\n")))
					leave()
					if err == nil && c.versionOf(id) != "v1" {
						begun = append(begun, id)
					}
				}
				for _, s := range old {
					s.SetFull(false)
				}
				assert.Assert(t, len(begun) >= streams/2, "%d streams of the next version", len(begun))
				wentOn := 0
				var mu sync.Mutex
				takeUp := func(try string) {
					var work sync.WaitGroup
					for _, first := range begun {
						work.Go(func() {
							id := try + first
							res, err := c.resumable(t.Context(), out, key, id, "Last-Event-Id", "2", site.Resumes, first)
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, res.Body)
							_ = res.Body.Close()
							version := c.versionOf(id)
							assert.Check(t, version != "v1", "%s goes on at %s", id, version)
							mu.Lock()
							defer mu.Unlock()
							if res.StatusCode == http.StatusOK {
								wentOn++
							}
						})
					}
					if try == "at-once-" {
						time.Sleep(100 * time.Millisecond)
						w.end(out)
					}
					work.Wait()
				}
				takeUp("at-once-")
				atOnce := wentOn
				time.Sleep(3 * time.Second)
				takeUp("later-")
				t.Logf("of %d streams %d go on at once, %d later", len(begun), atOnce, wentOn-atOnce)
				assert.Check(t, 2*(wentOn-atOnce) >= len(begun), "once it is in touch")
			})
		}
	}
}
