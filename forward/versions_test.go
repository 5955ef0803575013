package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// setVersions sets the software versions of servers, by ID.
func (w *testEnv) setVersions(versions map[string]string) {
	w.view.mu.Lock()
	defer w.view.mu.Unlock()
	w.view.servers = slices.Clone(w.view.servers)
	for i, s := range w.view.servers {
		if version, ok := versions[s.ID]; ok {
			w.view.servers[i].Version = version
		}
	}
	w.streams.Observe(w.view.servers)
}

// versionOf returns the software version of the server at an address.
func (w *testEnv) versionOf(t *testing.T, addr string) string {
	t.Helper()
	w.view.mu.Lock()
	defer w.view.mu.Unlock()
	i := slices.IndexFunc(w.view.servers, func(s registry.Server) bool { return s.Addr == addr || s.ID == addr })
	assert.Assert(t, i >= 0, "%s", addr)
	return w.view.servers[i].Version
}

// versions of the software of engines in these tests.
const (
	oldVersion = "v1"
	newVersion = "v2"
)

// makeOthers gives an engine the old version and all others the new one.
func (w *testEnv) makeOthers(old string) {
	versions := map[string]string{}
	for id := range w.servers {
		versions[id] = newVersion
	}
	versions[old] = oldVersion
	w.setVersions(versions)
}

// TestSecondAttemptChangesVersion guards against a stream that loses its engine and goes on at one of another software
// version within one answer.
func TestSecondAttemptChangesVersion(t *testing.T) {
	w := newEngineEnv(t)
	first := w.preferred(t)
	w.makeOthers(first.ID)
	first.Behave(site.Answer, site.CutStream)
	got := w.post(t, "/resume/1")
	assert.Check(t, got.cut, "goes on at another version")
	assert.Check(t, strings.HasPrefix(whole, got.body))

	w.add(t, "d3", "llm", registry.Decode)
	w.setVersions(map[string]string{"d3": oldVersion})
	first.Behave(site.Answer, site.CutStream)
	got = w.post(t, "/resume/2")
	assert.Check(t, !got.cut && got.body == whole, "%q", got.body)
	calls := w.decodes("/resume/2")
	assert.Equal(t, w.versionOf(t, calls[0].Server), w.versionOf(t, calls[len(calls)-1].Server), "version of the second attempt")
}

// TestBackupChangesVersion guards against a backup at an engine of another software version, where the run would go on.
func TestBackupChangesVersion(t *testing.T) {
	w := newCopyEnv(t, unlimited)
	first := w.preferred(t, longRun...)
	w.makeOthers(first.ID)
	first.Behave(site.Answer, site.CutStream)
	got := w.post(t, "/draft/1", longRun...)
	assert.Check(t, got.cut, "goes on at another version")
	for _, c := range w.decodes("/draft/1") {
		if c.Backup != "" {
			assert.Check(t, w.versionOf(t, c.Backup) == w.versionOf(t, c.Server), "version of the backup")
		}
	}
}

// TestMoveChangesVersion guards against a run that moves to an engine of another software version.
func TestMoveChangesVersion(t *testing.T) {
	w, first := newMoveEnv(t, "/draft/1")
	w.makeOthers(first.ID)
	first.Behave(site.Answer, site.SlowStream)
	got := w.post(t, "/draft/1", longRun...)
	assert.Equal(t, got.body, whole)
	for _, c := range w.decodes("/draft/1") {
		assert.Check(t, c.Server == first.ID, "moved to another version")
	}
}

// beginStream has a client begin a stream, and leave it after two events.
func (w *testEnv) beginStream(t *testing.T, id string) {
	t.Helper()
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.addr+"/resume/begin", strings.NewReader("question"))
	assert.NilError(t, err)
	r.Host = "h"
	for name, value := range map[string]string{site.RequestID: id, site.Deadline: clientDeadline, site.Tokens: "1000,200"} {
		r.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	_, err = io.ReadFull(res.Body, make([]byte, len(whole)*2/site.Events))
	assert.NilError(t, err)
}

// resumed are the headers of a request that resumes the stream id behind its second event.
func resumed(id string) []string { return []string{"Last-Event-Id", "2", site.Resumes, id} }

// rest is what follows the second event of a stream.
var rest = whole[len(whole)*2/site.Events:]

// TestTakenUpStreamChangesVersion guards against a stream that a client takes up and that goes on at an engine of another
// software version than the one that began it.
func TestTakenUpStreamChangesVersion(t *testing.T) {
	w := newTestEnv(t)
	w.add(t, "d1", "llm", registry.Decode)
	w.setVersions(map[string]string{"d1": oldVersion})
	w.servers["d1"].Behave(site.Answer, site.StallStream)
	w.beginStream(t, "first")
	w.add(t, "d2", "llm", registry.Decode)
	w.setVersions(map[string]string{"d2": newVersion})
	for i := range 4 {
		path := fmt.Sprint("/resume/", i)
		got := w.post(t, path, resumed("first")...)
		assert.Check(t, got.body == rest, "%d %q", got.status, got.body)
		for _, c := range w.decodes(path) {
			assert.Check(t, c.Server == "d1", "taken up at another version")
		}
	}
	w.servers["d1"].SetFull(true)
	got := w.post(t, "/resume/full", resumed("first")...)
	assert.Check(t, got.status == 503 && len(w.decodes("/resume/full")) == 0, "no memory at its version: %d %q", got.status, got.body)
	w.view.mu.Lock()
	w.view.servers = slices.DeleteFunc(slices.Clone(w.view.servers), func(s registry.Server) bool { return s.ID == "d1" })
	w.view.mu.Unlock()
	got = w.post(t, "/resume/late", resumed("first")...)
	assert.Check(t, got.status == 503, "no engine of its version is left: %d %q", got.status, got.body)
}

// TestUnknownStreamIsTakenUp guards against a stream that this process does not know and that goes on although engines
// of two software versions may have begun it, and against one that is refused although only one can have.
func TestUnknownStreamIsTakenUp(t *testing.T) {
	w := newEngineEnv(t)
	w.setVersions(map[string]string{"pre": oldVersion, "d1": oldVersion, "d2": oldVersion})
	got := w.post(t, "/resume/0", resumed("unknown-0")...)
	assert.Equal(t, got.body, rest, "one version")
	w.setVersions(map[string]string{"d2": newVersion})
	got = w.post(t, "/resume/1", resumed("unknown-1")...)
	assert.Check(t, got.status == 503, "two versions: %d %q", got.status, got.body)
	got = w.post(t, "/resume/2", "Last-Event-Id", "2")
	assert.Check(t, got.status == 503, "does not name the stream: %d %q", got.status, got.body)
	got = w.post(t, "/resume/3", resumed("unknown-0")...)
	assert.Check(t, got.body == rest && w.versionOf(t, w.decodes("/resume/3")[0].Server) == oldVersion, "known since it went on: %d %q", got.status, got.body)
	assert.Check(t, len(w.decodes("/resume/1"))+len(w.decodes("/resume/2")) == 0, "runs of unknown streams")
}

// TestPlainStreamChangesVersion guards against a stream of a plain service that a client takes up and that goes on at a
// server of another software version.
func TestPlainStreamChangesVersion(t *testing.T) {
	w := newPlainEnv(t)
	table := *w.view.Table()
	table.Routes = slices.Clone(table.Routes)
	for i := range table.Routes {
		table.Routes[i].Resumable = table.Routes[i].Name == "safe"
	}
	w.view.setTable(&table)
	w.setVersions(map[string]string{"p1": oldVersion, "p2": newVersion, "p3": newVersion})
	for _, id := range []string{"p2", "p3"} {
		w.servers[id].Behave(site.Shed)
	}
	got := w.post(t, "/safe/0")
	assert.Equal(t, got.header.Get(site.Stamp), "p1")
	for _, id := range []string{"p2", "p3"} {
		w.servers[id].Behave(site.Answer)
	}
	for i := range 6 {
		got = w.post(t, fmt.Sprint("/safe/again-", i), resumed("id-1")...)
		assert.Check(t, got.header.Get(site.Stamp) == "p1", "taken up at %q", got.header.Get(site.Stamp))
	}
	got = w.post(t, "/safe/unknown", resumed("unknown")...)
	assert.Check(t, got.status == 503, "unknown: %d", got.status)
	w.servers["p1"].Behave(site.Shed)
	got = w.post(t, "/safe/again", resumed("id-1")...)
	assert.Check(t, got.status == 503, "its server refuses: %d", got.status)
	assert.Equal(t, w.post(t, "/once/1", resumed("unknown")...).status, 200, "a route without resumption")
}
