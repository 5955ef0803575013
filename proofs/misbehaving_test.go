package proofs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// TestMisbehavingCallersOfGateway guards against clients that end a gateway: it holds what many of them send, or as many connections
// as come, until the memory or the descriptors of its VM are used up.
func TestMisbehavingCallersOfGateway(t *testing.T) {
	for _, kind := range misbehavingKinds(crowdRequest) {
		t.Run(kind.name, func(t *testing.T) {
			g := startSmallGateway(t)
			g.target(g.gateways[0].callers).checkBears(t, kind)
		})
	}
}

// TestRequestAtTheLimitIsServed guards against bounds that turn away a sound client: one request with a body of the largest size is
// served in calm on the smallest VM, whichever way it is sent.
func TestRequestAtTheLimitIsServed(t *testing.T) {
	for name, body := range map[string]func() io.Reader{
		"announced":    func() io.Reader { return bytes.NewReader(make([]byte, maxBodyBytes)) },
		"large chunks": func() io.Reader { return io.LimitReader(pieces{largeChunk, 0}, maxBodyBytes) },
		"small chunks": func() io.Reader { return io.LimitReader(pieces{smallChunk, 0}, maxBodyBytes) },
		"in pieces":    func() io.Reader { return io.LimitReader(pieces{pieceBytes, piecePause}, maxBodyBytes) },
	} {
		t.Run(name, func(t *testing.T) {
			g := startSmallGateway(t)
			ctx, cancel := context.WithTimeout(context.Background(), afterwardsBound)
			defer cancel()
			assert.Equal(t, g.postWith(ctx, body(), "limit"), http.StatusOK)
			g.checkBody(t, "limit", maxBodyBytes)
			assert.Check(t, peakMemory(t, g.gateways[0].proc.cmd.Process.Pid) <= smallMemoryBytes)
		})
	}
}

// TestSlowClientKeepsItsTurn guards against bounds that sacrifice a sound client whose request arrives slowly to a crowd that comes
// meanwhile and stops short.
func TestSlowClientKeepsItsTurn(t *testing.T) {
	for name, length := range map[string]int{"a tenth of the limit": maxBodyBytes / 10, "at the limit": maxBodyBytes} {
		t.Run(name, func(t *testing.T) {
			g := startSmallGateway(t)
			const pause = 100 * time.Millisecond
			// It takes half as long again as the crowd.
			steps := int(crowdTime * 3 / 2 / pause)
			served := make(chan int)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), afterwardsBound)
				defer cancel()
				body := io.LimitReader(pieces{length/steps + 1, pause}, int64(length))
				served <- g.postAnnounced(ctx, body, length, "slow")
			}()
			time.Sleep(5 * pause)
			short := announced(crowdRequest, maxBodyBytes, maxBodyBytes-1, pieceBytes)
			s := &misbehavingCrowd{addr: g.gateways[0].callers, kind: clientKind{clients: 64, send: short}}
			s.start()
			got := <-served
			s.close()
			assert.Equal(t, got, http.StatusOK)
			g.checkBody(t, "slow", length)
		})
	}
}

// pieces reads as a body without end that comes in pieces of some size, with a pause before each.
type pieces struct {
	size  int
	pause time.Duration
}

// Read implements io.Reader.
func (p pieces) Read(b []byte) (int, error) {
	time.Sleep(p.pause)
	n := min(p.size, len(b))
	clear(b[:n])
	return n, nil
}

// TestMisbehavingClientsOfOtherListeners is the same for the listeners of a gateway that are not for callers.
func TestMisbehavingClientsOfOtherListeners(t *testing.T) {
	for _, listener := range []struct {
		name string
		addr func(g *clusterGateway) string
	}{
		{"ready", func(g *clusterGateway) string { return g.ready }},
		{"metrics", func(g *clusterGateway) string { return fmt.Sprintf("127.0.0.2:%d", datagramPort) }},
	} {
		for _, kind := range otherListenerKinds(func(int) string { return "POST " + site.ReadyPath + " HTTP/1.1\r\nHost: h\r\n" }) {
			t.Run(listener.name+", "+kind.name, func(t *testing.T) {
				g := startSmallGateway(t)
				g.target(listener.addr(g.gateways[0])).checkBears(t, kind)
			})
		}
	}
	for _, kind := range rpcKinds {
		t.Run("control, "+kind.name, func(t *testing.T) {
			g := startSmallGateway(t)
			g.target(g.gateways[0].control).checkBears(t, kind)
		})
	}
}

// TestMisbehavingClientsOfEntry is the same for the listeners of an entry.
func TestMisbehavingClientsOfEntry(t *testing.T) {
	for _, kind := range otherListenerKinds(entryRequest) {
		t.Run("callers, "+kind.name, func(t *testing.T) {
			c := startSmallEntry(t)
			c.entryTarget(strings.TrimPrefix(c.entries[0].url, "http://")).checkBears(t, kind)
		})
	}
	for _, kind := range otherListenerKinds(entryRequest) {
		t.Run("admin, "+kind.name, func(t *testing.T) {
			c := startSmallEntry(t)
			c.entryTarget(strings.TrimPrefix(c.entries[0].adminURL, "http://")).checkBears(t, kind)
		})
	}
}

// TestMisbehavingClientsOfSidecar is the same for the listeners of a sidecar.
func TestMisbehavingClientsOfSidecar(t *testing.T) {
	for _, kind := range otherListenerKinds(entryRequest) {
		t.Run("admin, "+kind.name, func(t *testing.T) {
			c := startSmallEntry(t)
			c.sidecarTarget(strings.TrimPrefix(c.backends[0].adminURL, "http://")).checkBears(t, kind)
		})
	}
	for _, kind := range rpcKinds {
		t.Run("entries, "+kind.name, func(t *testing.T) {
			c := startSmallEntry(t)
			c.sidecarTarget(c.backends[0].sidecarAddr).checkBears(t, kind)
		})
	}
}

// otherListenerKinds are one kind for each way in which memory or descriptors are taken; the gateway's listener for callers, whose
// server all have, is tested with all kinds.
func otherListenerKinds(head request) []clientKind {
	var kinds []clientKind
	for _, kind := range misbehavingKinds(head) {
		switch kind.name {
		case "bodies that stop short", "small chunks that stop short", "one chunk far over the limit", "header line without end",
			"requests sent ahead, answers not read", "connections that send nothing":
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// rpcKinds are the kinds of clients of a listener for calls between our own processes, whose frames begin with a byte of flags, a
// stream, a message and a length.
var rpcKinds = []clientKind{
	{name: "frame that stops short", clients: 64, send: func(w *crowdConn) {
		const invoke = 1 << 1
		w.write([]byte{invoke, 1, 1, 0x80, 0x80, 0x80, 0x02})
		w.writeBody(maxBodyBytes-1, largeChunk)
	}},
	{name: "message without end", clients: 64, send: func(w *crowdConn) {
		const invoke = 1 << 1
		// 1,024 bytes, not the last ones of the message.
		frame := append([]byte{invoke, 1, 1, 0x80, 0x08}, make([]byte, 1024)...)
		many := strings.Repeat(string(frame), 64)
		for w.goesOn() {
			w.writeText("%s", many)
		}
	}},
	{name: "connections that send nothing", clients: 1500, send: func(*crowdConn) {}, silent: true},
}

// crowdRequest is the head of an unsafe request whose key is valid.
func crowdRequest(client int) string {
	id := fmt.Sprintf("crowd-%d-%d", client, time.Now().UnixNano())
	return fmt.Sprintf("POST /unsafe/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\n%s: Token %s\r\n",
		id, routeHost, site.RequestID, id, site.Deadline, site.Credentials, crowdKey)
}

// entryRequest is the head of a completion.
func entryRequest(int) string {
	return "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + apiKey + "\r\n"
}

// crowdKey is the key of a tenant without a quota.
const crowdKey = "team-key-1"

// smallGateway is one gateway on the smallest VM.
type smallGateway struct {
	*gatewayCluster
	t *testing.T
}

func startSmallGateway(t *testing.T) smallGateway {
	t.Helper()
	c := prepareGatewayCluster(t, 1)
	c.limits = map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	c.nextManifest()
	c.gateways[0].settings["limits"] = map[string]any{"memory_mb": smallMemoryMB, "max_fds": smallMaxFiles}
	c.startGateways()
	g := smallGateway{c, t}
	eventually(t, startBound, "ordinary request", g.serves)
	return g
}

func (g smallGateway) target(addr string) crowdTarget {
	return crowdTarget{proc: g.gateways[0].proc, addr: addr, serves: g.serves}
}

// serves reports whether an ordinary request is answered.
func (g smallGateway) serves() bool {
	return g.post(strings.NewReader("some text"), "ordinary") == http.StatusOK
}

// post sends an unsafe request over a new connection and returns the status of the answer, zero if there is none.
func (g smallGateway) post(body io.Reader, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), crowdPatience)
	defer cancel()
	return g.postWith(ctx, body, id)
}

func (g smallGateway) postWith(ctx context.Context, body io.Reader, id string) int {
	return g.postAnnounced(ctx, body, -1, id)
}

// postAnnounced is post with the length of the body; if that is negative, the body is announced if it is in memory, and chunked if
// not.
func (g smallGateway) postAnnounced(ctx context.Context, body io.Reader, length int, id string) int {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.gateways[0].callers+"/unsafe/"+id, body)
	if err != nil {
		return 0
	}
	if length >= 0 {
		r.ContentLength = int64(length)
	}
	r.Host = routeHost
	r.Header.Set(site.RequestID, fmt.Sprint(id, time.Now().UnixNano()))
	r.Header.Set(site.Deadline, "10000")
	r.Header.Set(site.Credentials, "Token "+crowdKey)
	hc := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := hc.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// checkBody checks that a request reached a server once, and its body is whole.
func (g smallGateway) checkBody(t *testing.T, id string, length int) {
	t.Helper()
	runs := 0
	for _, call := range g.log.Calls() {
		if call.Kind == site.Plain && !call.Refused && strings.HasPrefix(call.ID, id) {
			runs++
			assert.Equal(t, len(call.Body), length)
		}
	}
	assert.Equal(t, runs, 1)
}

func startSmallEntry(t *testing.T) *cluster {
	t.Helper()
	return newCluster(t, options{mixed: 1, services: 1, entryYAML: smallEntryYAML, sidecarYAML: smallSidecarYAML})
}

// Settings of processes on the smallest VM.
var (
	smallEntryYAML   = fmt.Sprintf("bounds: {memory_bytes: %d, max_files: %d}\n", smallMemoryBytes, smallMaxFiles)
	smallSidecarYAML = smallEntryYAML
)

func (c *cluster) entryTarget(addr string) crowdTarget {
	return crowdTarget{proc: c.entries[0].proc, addr: addr, serves: c.servesOrdinary}
}

func (c *cluster) sidecarTarget(addr string) crowdTarget {
	return crowdTarget{proc: c.backends[0].sidecar, addr: addr, serves: c.servesOrdinary}
}

// servesOrdinary reports whether an ordinary request to the entry is answered.
func (c *cluster) servesOrdinary() bool {
	a := c.entries[0].do(context.Background(), modelRequest{model: "drafting", prompt: promptForTokens(2, 1, "ordinary")})
	return a.status == http.StatusOK && a.whole
}
