package proofs

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/engine"
	standin "github.com/hibiscusspur/hibiscusspur/standin/engine"
	"github.com/hibiscusspur/hibiscusspur/standin/fault"
	splatform "github.com/hibiscusspur/hibiscusspur/standin/platform"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// startBound is how long a process may take to start answering.
const startBound = 15 * time.Second

// customer is the only customer, apiKey its API key.
const (
	customer = "office"
	apiKey   = "proofs-key"
)

// contractYAML is the customer's contract: repeatable drafts, unrepeatable rulings, and a service with one
// unrepeatable call. The limits are too high to be reached.
const contractYAML = `customer: office
brand: Office
keys:
  - name: main
    sha256: %s
share: 1
limits: {requests_per_second: 10000, burst: 10000, concurrent: 10000, max_prompt_tokens: 100000, max_output_tokens: 100000}
classes:
  - {name: draft, models: [drafting], urgency: interactive, ttft: 15s, tbt: 2s, deadline: 30s}
  - {name: ruling, models: [ruling], urgency: interactive, ttft: 15s, tbt: 2s, deadline: 30s, unrepeatable: true}
services:
  - {name: permits, unrepeatable: ["POST /receipts"], timeout: 10s}
`

// backend is one backend server: an engine or a service, its sidecar, and the relay through which entries
// reach the sidecar.
type backend struct {
	id, role             string
	engineURL, adminURL  string
	engine, sidecar      *process
	relay                *relay
	sidecarAddr, address string
}

// entry is one entry and the relay between it and the platform's store.
type entry struct {
	id, url, adminURL string
	proc              *process
	store             *relay
}

// options describe a cluster.
type options struct {
	prefills, decodes, mixed, services, entries int
	// engineArgs are additional arguments of each engine, serviceArgs of each service.
	engineArgs  []string
	serviceArgs []string
	// entryYAML and sidecarYAML are appended to the settings files.
	entryYAML, sidecarYAML string
}

// cluster runs the platform, the entries and the backend servers as separate processes.
type cluster struct {
	t        *testing.T
	dir      string
	opts     options
	platform *process
	storeURL string
	table    store.Table
	writer   *dissemination.Writer
	head     uint64
	backends []*backend
	entries  []*entry
}

func newCluster(t *testing.T, o options) *cluster {
	t.Helper()
	t.Parallel()
	c := &cluster{t: t, dir: t.TempDir(), opts: o}
	addr := freeAddr(t)
	c.storeURL = "http://" + addr
	c.platform = start(t, c.dir, "platform", "standin", "platform", "--listen", addr)
	c.table = store.NewHTTPTable(c.storeURL, nil)
	c.writer = dissemination.NewWriter(c.table, rand.Text, time.Now)
	await(t, startBound, c.storeURL+splatform.PathCounters)
	for i := range o.prefills {
		c.addBackend(fmt.Sprintf("p%d", i+1), string(engine.RolePrefill))
	}
	for i := range o.decodes {
		c.addBackend(fmt.Sprintf("d%d", i+1), string(engine.RoleDecode))
	}
	for i := range o.mixed {
		c.addBackend(fmt.Sprintf("m%d", i+1), string(engine.RoleMixed))
	}
	for i := range o.services {
		c.addBackend(fmt.Sprintf("s%d", i+1), "service")
	}
	c.commit(map[string]dissemination.Change{dissemination.ContractPrefix + customer: {Body: contractText()}})
	for range max(o.entries, 1) {
		c.addEntry()
	}
	for _, b := range c.backends {
		await(t, startBound, b.adminURL+"/healthz")
	}
	for _, e := range c.entries {
		c.awaitServing(e)
	}
	return c
}

func contractText() string { return fmt.Sprintf(contractYAML, contract.HashKey(apiKey)) }

func (c *cluster) addBackend(id, role string) {
	c.t.Helper()
	b := &backend{id: id, role: role, sidecarAddr: freeAddr(c.t)}
	work := freeAddr(c.t)
	b.engineURL = "http://" + work
	kind := "engine"
	if role == "service" {
		kind = "service"
		b.engine = start(c.t, c.dir, "engine-"+id, "standin", append([]string{"service", "--listen", work, "--id", id}, c.opts.serviceArgs...)...)
	} else {
		args := []string{"engine", "--listen", work, "--id", id, "--role", role, "--models", "drafting,ruling"}
		b.engine = start(c.t, c.dir, "engine-"+id, "standin", append(args, c.opts.engineArgs...)...)
	}
	admin := freeAddr(c.t)
	b.adminURL = "http://" + admin
	file := c.settings(id, fmt.Sprintf("id: %s\nzone: z1\nlisten: %s\nadmin: %s\n%s: %s\n%s", id, b.sidecarAddr, admin, kind, b.engineURL, c.opts.sidecarYAML))
	b.sidecar = start(c.t, c.dir, "sidecar-"+id, "hibiscusspur", "sidecar", "--settings", file)
	b.relay = newRelay(c.t, b.sidecarAddr)
	b.address = b.relay.addr
	c.backends = append(c.backends, b)
	c.commit(map[string]dissemination.Change{dissemination.BackendPrefix + id: {Body: b.record(false)}})
}

func (b *backend) record(retired bool) string {
	models := "[drafting, ruling]"
	if b.role == "service" {
		models = "[permits]"
	}
	return fmt.Sprintf("id: %s\naddress: %s\nzone: z1\nrole: %s\nmodels: %s\nretired: %v\n", b.id, b.address, b.role, models, retired)
}

func (c *cluster) addEntry() *entry {
	c.t.Helper()
	id := fmt.Sprintf("e%d", len(c.entries)+1)
	listen, admin := freeAddr(c.t), freeAddr(c.t)
	e := &entry{id: id, url: "http://" + listen, adminURL: "http://" + admin, store: newRelay(c.t, strings.TrimPrefix(c.storeURL, "http://"))}
	file := c.settings(id, fmt.Sprintf("id: %s\nzone: z1\nlisten: %s\nadmin: %s\nplatform: http://%s\n%s", id, listen, admin, e.store.addr, c.opts.entryYAML))
	e.proc = start(c.t, c.dir, "entry-"+id, "hibiscusspur", "entry", "--settings", file)
	c.entries = append(c.entries, e)
	return e
}

func (c *cluster) settings(id, text string) string {
	file := filepath.Join(c.dir, id+".yaml")
	assert.NilError(c.t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// awaitServing waits until an entry is healthy and has a link to every backend server.
func (c *cluster) awaitServing(e *entry) {
	c.t.Helper()
	await(c.t, startBound, e.adminURL+"/healthz")
	eventually(c.t, startBound, "links of "+e.id, func() bool {
		return c.links(e) >= len(c.backends)
	})
}

// links counts the backend servers to which an entry has logged a link.
func (c *cluster) links(e *entry) int {
	data := readLog(e.proc.log)
	n := 0
	for _, b := range c.backends {
		if strings.Contains(data, `"backend":"`+b.id+`","incarnation"`) {
			n++
		}
	}
	return n
}

func readLog(file string) string {
	data, _ := os.ReadFile(file)
	return string(data)
}

// commit commits a configuration change and returns the new revision.
func (c *cluster) commit(changes map[string]dissemination.Change) uint64 {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	rev, err := c.writer.Commit(ctx, "proofs", c.head, changes)
	assert.NilError(c.t, err)
	c.head = rev
	return rev
}

func (c *cluster) backend(id string) *backend {
	for _, b := range c.backends {
		if b.id == id {
			return b
		}
	}
	c.t.Fatalf("no backend server %s", id)
	return nil
}

// state returns an engine's state; a dead engine returns an error and holds no memory.
func (b *backend) state() (standin.State, error) {
	var s standin.State
	err := getJSON(b.engineURL+standin.PathState, &s)
	return s, err
}

// heldCount counts the runs and exported KV caches in all reachable engines.
func (c *cluster) heldCount() int {
	n := 0
	for _, b := range c.backends {
		if s, err := b.state(); err == nil {
			n += len(s.Runs) + len(s.Exports)
		}
	}
	return n
}

// runsStarted counts the runs started for a request, in all reachable engines. A nil error means that all engines
// were reachable.
func (c *cluster) runsStarted(request string) (int, error) {
	run := c.runOf(request)
	n := 0
	var errs error
	for _, b := range c.backends {
		s, err := b.state()
		errs = errors.Join(errs, err)
		for id, times := range s.BegunRuns {
			if run != "" && strings.HasPrefix(id, run+".") {
				n += times
			}
		}
	}
	return n, errs
}

// runOf returns the ID of the run that the entries made for a request, taken from their logs.
func (c *cluster) runOf(request string) string {
	for _, e := range c.entries {
		_, rest, ok := strings.Cut(readLog(e.proc.log), `"text":"request ended","request":"`+request+`","run":"`)
		if id, _, found := strings.Cut(rest, `"`); ok && found {
			return id
		}
	}
	return ""
}

// phase reports whether an engine lists a run in phase p.
func (b *backend) phase(p engine.Phase) bool {
	s, err := b.state()
	if err != nil {
		return false
	}
	for _, r := range s.Runs {
		if r.Phase == p {
			return true
		}
	}
	return false
}

// fault enables a fault of the engine or service.
func (c *cluster) fault(b *backend, r fault.Rule) {
	c.t.Helper()
	assert.NilError(c.t, postJSON(b.engineURL+fault.Path, r))
}

// storeFault enables a fault of the platform's store; clearStore ends all of them.
func (c *cluster) storeFault(f splatform.Fault) {
	c.t.Helper()
	assert.NilError(c.t, postJSON(c.storeURL+splatform.PathFault, f))
}

// control is the HTTP client for admin and fault endpoints.
var control = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func status(url string) int {
	res, err := control.Get(url)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func getJSON(url string, out any) error {
	res, err := control.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(out)
}

func postJSON(url string, in any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	res, err := control.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("%s: status %d", url, res.StatusCode)
	}
	return nil
}

// enginesReachable reports whether every engine returns its state.
func (c *cluster) enginesReachable() bool {
	for _, b := range c.backends {
		if b.role == "service" {
			continue
		}
		if _, err := b.state(); err != nil {
			return false
		}
	}
	return true
}
