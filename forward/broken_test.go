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

// brokenHeads are answers whose heads are none.
var brokenHeads = map[string]string{
	"blank before the colon of the length":   site.StampedHead("200 OK", "bad") + "Content-Length : 2\r\n\r\nok and more",
	"blank before the colon of the encoding": site.StampedHead("200 OK", "bad") + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank in a name":                        site.StampedHead("200 OK", "bad") + "X Y: z\r\nContent-Length: 2\r\n\r\nok",
	"blank before a name":                    site.StampedHead("200 OK", "bad") + " X: z\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a name":                 site.StampedHead("200 OK", "bad") + "X\x01: z\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a value":                site.StampedHead("200 OK", "bad") + "X: \x01z\r\nContent-Length: 2\r\n\r\nok",
	"status 000":                             site.StampedHead("000 None", "bad") + "Content-Length: 2\r\n\r\nok",
	"status 000, then another":               site.StampedHead("000 None", "bad") + "\r\n" + site.StampedHead("200 OK", "bad") + "Content-Length: 2\r\n\r\nok",
	"status 600":                             site.StampedHead("600 None", "bad") + "Content-Length: 2\r\n\r\nok",
	"HTTP/0.9":                               "HTTP/0.9" + strings.TrimPrefix(site.StampedHead("200 OK", "bad"), "HTTP/1.1") + "Content-Length: 2\r\n\r\nok",
	"length and chunks":                      site.StampedHead("200 OK", "bad") + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":                     "HTTP/1.0" + strings.TrimPrefix(site.StampedHead("200 OK", "bad"), "HTTP/1.1") + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"body where none is allowed":             site.StampedHead("204 None", "bad") + "Content-Length: 2\r\n\r\nok",
	"shorter than its length":                site.StampedHead("200 OK", "bad") + "Content-Length: 3\r\n\r\nok",
	"no last chunk":                          site.StampedHead("200 OK", "bad") + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	"failure with a blank in a name":         site.StampedHead("500 Failed", "bad") + "X Y: z\r\nContent-Length: 6\r\n\r\nfailed",
}

// TestBrokenHeadsDontReachClients guards against bytes that are no answer and reach a client as one, in place of a failure of the router's own.
func TestBrokenHeadsDontReachClients(t *testing.T) {
	for name, text := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			w.addRaw(t, "bad", "plain", registry.Whole, site.RawAnswer{Text: text})
			w.add(t, "pre", "llm", registry.Prefill)
			w.addRaw(t, "d", "llm", registry.Decode, site.RawAnswer{Text: text})
			for _, path := range []string{"/once/1", "/draft/1"} {
				got := w.post(t, path)
				assert.Check(t, got.status == 502 && got.header.Get(site.Stamp) == "", "%s: %d %q %q", path, got.status, got.header, got.body)
			}
		})
	}
}
