package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
	"github.com/hibiscusspur/hibiscusspur/streamversions"
)

// versionsDatagramPort is the UDP port of the gateways, each of which has a loopback address of its own.
const versionsDatagramPort = 9465

// versionsSite is a site with a decode engine of each of two software versions.
type versionsSite struct {
	t     *testing.T
	store *site.Store
	calls *site.Log
	// old and new are the engines; only old is listed at first.
	old, new *site.Server
}

func newVersionsSite(t *testing.T) *versionsSite {
	calls := site.NewLog()
	v := &versionsSite{t: t, store: site.NewStore(t), calls: calls, old: site.NewServer(t, "old", calls), new: site.NewServer(t, "new", calls)}
	v.list(v.old, "v1")
	v.store.Put("op", "config", []byte(`{"version":3,
		"routes":[{"name":"r","host":"h","prefix":"/s/","kind":"stream","timeout_ms":30000,"slo_ms":500,"attempts":2,"resumable":true,"service":"llm"}],
		"services":[{"name":"llm","engine":{"slots":48,"kv_capacity":50000,"hold_ms":2000}}]}`))
	return v
}

// newRollOut returns a site with engines of two versions and two gateways, at the first of which a stream was begun at the
// old version by the request "first".
func newRollOut(t *testing.T) (v *versionsSite, a, b *process) {
	v = newVersionsSite(t)
	a = v.start("g1")
	b = v.start("g2", a.settings.ControlAddr)
	v.list(v.new, "v2")
	v.waitListed(a)
	v.waitListed(b)
	v.begin(a, "first")
	return v, a, b
}

// list lists an engine with its software version.
func (v *versionsSite) list(s *site.Server, version string) {
	e := s.Entry("llm", "ready")
	e.Stage, e.Version, e.Slots = "decode", version, 48
	v.store.Put("servers", s.ID, e.Encode())
}

func (v *versionsSite) start(vm string, seeds ...string) *process {
	p := startWithDatagrams(v.t, v.store, vm, versionsDatagramPort, seeds...)
	p.waitReady(v.t, http.StatusOK)
	return p
}

// waitListed waits until a gateway knows both engines.
func (v *versionsSite) waitListed(p *process) {
	v.t.Helper()
	waitUntil(v.t, "both engines", func() bool {
		res, err := http.Get("http://" + p.settings.MetricsAddr + "/servers")
		assert.NilError(v.t, err)
		defer func() { _ = res.Body.Close() }()
		body, err := io.ReadAll(res.Body)
		return err == nil && strings.Contains(string(body), `"old"`) && strings.Contains(string(body), `"new"`)
	})
}

// request sends a request for a stream; headers are names and values.
func (v *versionsSite) request(ctx context.Context, p *process, id string, headers ...string) *http.Response {
	v.t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.settings.ClientAddr+"/s/"+id, strings.NewReader("question"))
	assert.NilError(v.t, err)
	r.Host = "h"
	headers = append(headers, site.RequestID, id, site.Deadline, "20000", site.Tokens, "1000,200")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	assert.NilError(v.t, err)
	return res
}

// begin has a client begin a stream at the old version, and leave it after two events.
func (v *versionsSite) begin(p *process, id string) {
	v.t.Helper()
	ctx, leave := context.WithCancel(v.t.Context())
	defer leave()
	v.new.SetFull(true)
	defer v.new.SetFull(false)
	v.old.Behave(site.Answer, site.StallStream)
	res := v.request(ctx, p, id)
	defer func() { _ = res.Body.Close() }()
	_, err := io.ReadFull(res.Body, make([]byte, 2*len("id: 1\ndata: token 1\n\n")))
	assert.NilError(v.t, err)
	assert.Equal(v.t, res.Header.Get(site.Stamp), "old")
}

// takeUp has the client take the stream up, and returns the status and the engine that ran it.
func (v *versionsSite) takeUp(p *process, id, first string) (int, string) {
	v.t.Helper()
	res := v.request(v.t.Context(), p, id, "Last-Event-Id", "2", site.Resumes, first)
	defer func() { _ = res.Body.Close() }()
	_, err := io.Copy(io.Discard, res.Body)
	assert.NilError(v.t, err)
	for _, c := range v.calls.Calls() {
		if c.Kind == site.Decode && c.ID == id && !c.Refused {
			return res.StatusCode, c.Server
		}
	}
	return res.StatusCode, ""
}

// TestTakenUpElsewhereChangesVersion guards against a stream that a client takes up at another gateway and that goes on at
// another software version, and against one that is refused although it could go on. Each time the preferred engine for
// new requests is the one of the other version.
func TestTakenUpElsewhereChangesVersion(t *testing.T) {
	v, a, b := newRollOut(t)
	for i, p := range []*process{a, b, a, b} {
		status, engine := v.takeUp(p, fmt.Sprint("again-", i), "first")
		assert.Check(t, status == 200 && engine == "old", "take-up %d: %d at %q", i, status, engine)
	}
	v.old.SetFull(true)
	status, engine := v.takeUp(b, "full", "first")
	assert.Check(t, status == 503 && engine == "", "no memory at its version: %d at %q", status, engine)
}

// TestTakenUpAfterGatewayLeft guards against the same when the gateway that began the stream is gone, at one that knows
// it and at one that has started since.
func TestTakenUpAfterGatewayLeft(t *testing.T) {
	v, a, b := newRollOut(t)
	a.stop()
	assert.NilError(t, <-a.done)
	a.done = nil
	c := v.start("g3", b.settings.ControlAddr)
	v.waitListed(c)
	for i, p := range []*process{b, c} {
		status, engine := v.takeUp(p, fmt.Sprint("again-", i), "first")
		assert.Check(t, status == 200 && engine == "old", "take-up %d: %d at %q", i, status, engine)
	}
}

// goesOnAfterAllGatewaysLeft checks that the stream "first" goes on at its version, and an unknown one nowhere, after the only
// gateway has kept the first in the store and another one has started in its place; meanwhile is called between.
func (v *versionsSite) goesOnAfterAllGatewaysLeft(a *process, meanwhile func()) {
	t := v.t
	v.begin(a, "first")
	waitUntil(t, "the stream is kept", func() bool { return len(v.store.Values(streamversions.StreamsTableName)) == 1 })
	a.stop()
	assert.NilError(t, <-a.done)
	a.done = nil
	meanwhile()
	b := v.start("g2")
	v.waitListed(b)
	for i := range 3 {
		status, engine := v.takeUp(b, fmt.Sprint("again-", i), "first")
		assert.Check(t, status == 200 && engine == "old", "%d at %q", status, engine)
	}
	status, engine := v.takeUp(b, "again", "unknown")
	assert.Check(t, status == 503 && engine == "", "%d at %q", status, engine)
}

// TestTakenUpAfterAllGatewaysLeft guards against a stream that can't be taken up after all gateways have lost their memory,
// and against one of which nobody knows anything and that goes on at a version that need not be its own.
func TestTakenUpAfterAllGatewaysLeft(t *testing.T) {
	v := newVersionsSite(t)
	v.list(v.new, "v2")
	a := v.start("g1")
	v.waitListed(a)
	v.goesOnAfterAllGatewaysLeft(a, func() {})
}

// TestTakenUpAfterAllGatewaysLeftBeforeAnUpdate guards against the same where the next version is listed while all gateways
// are gone.
func TestTakenUpAfterAllGatewaysLeftBeforeAnUpdate(t *testing.T) {
	v := newVersionsSite(t)
	a := v.start("g1")
	v.goesOnAfterAllGatewaysLeft(a, func() { v.list(v.new, "v2") })
}

// TestTakenUpAfterVersionLeftToo guards against the same when the version that began the stream has left the list as well,
// so that a gateway that has just started sees one version only.
func TestTakenUpAfterVersionLeftToo(t *testing.T) {
	v := newVersionsSite(t)
	v.list(v.new, "v2")
	a := v.start("g1")
	v.waitListed(a)
	v.begin(a, "first")
	waitUntil(t, "the versions are kept", func() bool {
		return strings.Contains(string(v.store.Value(streamversions.TableName, "llm")), `"v1","v2"`)
	})
	v.store.Put("servers", "old", nil)
	a.stop()
	assert.NilError(t, <-a.done)
	a.done = nil
	b := v.start("g2")
	status, engine := v.takeUp(b, "again", "first")
	assert.Check(t, status == 503 && engine == "", "%d at %q", status, engine)
	status, engine = v.takeUp(b, "again-2", "first")
	assert.Check(t, status == 503 && engine == "", "%d at %q", status, engine)
}

// TestTakenUpAfterVersionWasReplacedMeanwhile guards against a stream that goes on at another software version because its own one, the
// only one until then, was replaced while all gateways were gone.
func TestTakenUpAfterVersionWasReplacedMeanwhile(t *testing.T) {
	v := newVersionsSite(t)
	a := v.start("g1")
	v.begin(a, "first")
	waitUntil(t, "the version is kept", func() bool {
		return strings.Contains(string(v.store.Value(streamversions.TableName, "llm")), `"v1"`)
	})
	a.stop()
	assert.NilError(t, <-a.done)
	a.done = nil
	v.store.Put("servers", "old", nil)
	v.list(v.new, "v2")
	b := v.start("g2")
	for i := range 3 {
		status, engine := v.takeUp(b, fmt.Sprint("again-", i), "first")
		assert.Check(t, status == 503 && engine == "", "%d at %q", status, engine)
	}
}

// TestTakenUpWithOneVersion guards against turning away streams that nobody knows where all engines have one version.
func TestTakenUpWithOneVersion(t *testing.T) {
	v := newVersionsSite(t)
	a := v.start("g1")
	status, engine := v.takeUp(a, "again", "first")
	assert.Check(t, status == 200 && engine == "old", "%d at %q", status, engine)
	waitUntil(t, "the only version is kept", func() bool {
		return string(v.store.Value(streamversions.TableName, "llm")) == `{"versions":["v1"]}`
	})
	waitUntil(t, "the stream is kept", func() bool { return len(v.store.Values(streamversions.StreamsTableName)) == 1 })
}
