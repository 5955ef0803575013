package forward_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// addRaw starts a server in trouble.
func (w *testEnv) addRaw(t *testing.T, id, service string, stage registry.Stage, answer site.RawAnswer) {
	t.Helper()
	addr := site.NewRawServer(t, answer)
	w.view.mu.Lock()
	defer w.view.mu.Unlock()
	w.view.servers = append(w.view.servers, registry.Server{ID: id, Service: service, Addr: addr, Zone: "z1", Stage: stage, Slots: 48})
}

// longUpload is larger than the sockets' buffers, and legal.
const longUpload = 4<<20 - 1

// TestPartOfAnswerToLongUpload guards against the part of an answer that a server sent before it reset the connection, with the request
// still being written, and that reached the client as the whole answer.
func TestPartOfAnswerToLongUpload(t *testing.T) {
	const uploads = 200
	w := newTestEnv(t)
	table := *w.Table()
	table.Limits.BodyBytes = longUpload
	w.setTable(&table)
	w.addRaw(t, "bad", "plain", registry.Whole, site.RawAnswer{Text: site.StampedHead("200 OK", "bad") + "\r\npart", Resets: true})
	body := strings.Repeat("x", longUpload)
	for range uploads {
		got := w.send(t, "/once/1", body)
		assert.Check(t, got.status != 200 || got.cut, "%q passes for the whole answer", got.body)
	}
}
