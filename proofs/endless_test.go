package proofs

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// endlessAnswers are ways to answer with bytes that don't end. ID stands for the ID of the request.
var endlessAnswers = map[string]struct{ start, pattern string }{
	"one header line":             {"HTTP/1.1 200 OK\r\nA: ", "x"},
	"header lines":                {"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
	"no answer at all":            {"", "x"},
	"body of another answer":      {"HTTP/1.1 200 OK\r\n" + site.RequestID + ": other\r\n\r\n", "x"},
	"body without its own stamp":  {"HTTP/1.1 200 OK\r\n" + site.RequestID + ": ID\r\n\r\n", "x"},
	"interim answers":             {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"chunk extension of another":  {"HTTP/1.1 200 OK\r\n" + site.RequestID + ": other\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"failure":                     {"HTTP/1.1 500 Failed\r\n" + site.RequestID + ": ID\r\n" + site.Stamp + ": i-bad\r\n\r\n", "x"},
	"refusal with an endless end": {"HTTP/1.1 503 Busy\r\n" + site.RequestID + ": ID\r\n" + site.NotRun + ": 1\r\n\r\n", "x"},
}

// TestAnswersWithoutEndTakeNoMemory guards against gateways that hold in memory, or read until the time limit, what a server in
// trouble sends without end. One of three plain servers does; callers are served by the others meanwhile.
func TestAnswersWithoutEndTakeNoMemory(t *testing.T) {
	const (
		callers  = 16
		duration = 4 * time.Second
		// memory is that of the smallest VM of the users.
		memory = 112 << 20
		// perAnswer is what a gateway reads at most, and what the buffers of both sockets take on Linux.
		perAnswer = 1<<20 + 4<<20 + 6<<20
	)
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			c := newGatewayCluster(t, 1)
			bad := newEndlessServer(t, answer.start, answer.pattern)
			entry := site.Entry{Service: plainService, Addr: bad.addr, Zone: "z1", Version: "v1", Slots: 48, State: "ready", Seq: 1, Born: time.Now().UnixMilli()}
			c.store.Put("servers", "i-bad", entry.Encode())
			var served, asked atomic.Int64
			var clients sync.WaitGroup
			end := time.Now().Add(duration)
			for i := range callers {
				clients.Go(func() {
					for n := 0; time.Now().Before(end); n++ {
						asked.Add(1)
						if c.ask(t, "unsafe", fmt.Sprintf("call-%d-%d", i, n)) == http.StatusOK {
							served.Add(1)
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			clients.Wait()
			peak := peakMemory(t, c.gateways[0].proc.cmd.Process.Pid)
			t.Logf("%s: peak %d MB, %d of %d calls served, %d answers without end, %d kB taken of each", name, peak>>20, served.Load(), asked.Load(), bad.answers.Load(), bad.taken.Load()/max(bad.answers.Load(), 1)>>10)
			assert.Check(t, bad.answers.Load() > 0, "the server was not asked")
			assert.Check(t, peak <= memory, "peak %d MB", peak>>20)
			assert.Check(t, bad.taken.Load() <= bad.answers.Load()*perAnswer, "%d bytes taken of %d answers", bad.taken.Load(), bad.answers.Load())
			assert.Check(t, 2*served.Load() >= asked.Load(), "%d of %d calls served", served.Load(), asked.Load())
		})
	}
}

// endlessBodies are answers that can pass for one, with bodies that don't end, to requests of a kind.
var endlessBodies = map[string]struct{ kind, start, pattern string }{
	"to the end of the connection": {"unsafe", "\r\n", "x"},
	"chunks":                       {"unsafe", "Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
	"length":                       {"unsafe", "Content-Length: 1000000000000\r\n\r\n", "x"},
	"events":                       {"unsafe", "Content-Type: text/event-stream\r\n\r\n", "data: x\n\n"},
	"one event of a stream":        {"draft", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"},
	"a stream of empty lines":      {"draft", "Content-Type: text/event-stream\r\n\r\n", "\n"},
	"a stream of comments":         {"draft", "Content-Type: text/event-stream\r\n\r\n", ":\n"},
	"short events of a stream":     {"draft", "Content-Type: text/event-stream\r\n\r\n", "data: x\n\n"},
}

// TestEndlessBodiesTakeNoMemory guards against gateways that run out of memory since several servers answer without end, each answer within its
// own limit. Callers of the sound servers are served meanwhile.
func TestEndlessBodiesTakeNoMemory(t *testing.T) {
	const (
		callers    = 64
		badServers = 8
		duration   = 4 * time.Second
	)
	for name, body := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			c := startSmallGateway(t)
			for i := range badServers {
				id := fmt.Sprintf("i-bad-%d", i)
				bad := newEndlessServer(t, "HTTP/1.1 200 OK\r\n"+site.RequestID+": ID\r\n"+site.Stamp+": "+id+"\r\n"+body.start, body.pattern)
				entry := site.Entry{Service: plainService, Addr: bad.addr, Zone: "z1", Version: "v1", Slots: 48, State: "ready", Seq: 1, Born: time.Now().UnixMilli()}
				if body.kind == "draft" {
					entry.Service, entry.Stage = modelService, registry.Decode.String()
				}
				c.store.Put("servers", id, entry.Encode())
			}
			var served atomic.Int64
			var clients sync.WaitGroup
			end := time.Now().Add(duration)
			for i := range callers {
				clients.Go(func() {
					for n := 0; time.Now().Before(end); n++ {
						status, err := c.try(body.kind, fmt.Sprintf("call-%d-%d", i, n))
						if err == nil && status == http.StatusOK {
							served.Add(1)
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			clients.Wait()
			peak := peakMemory(t, c.gateways[0].proc.cmd.Process.Pid)
			t.Logf("%s: peak %d MB, %d calls served", name, peak/1_000_000, served.Load())
			assert.Check(t, peak <= smallMemoryBytes, "peak %d MB", peak/1_000_000)
			assert.Check(t, served.Load() > callers, "%d calls served", served.Load())
		})
	}
}

// endlessServer answers each request without end until its connection is closed.
type endlessServer struct {
	addr string
	// answers counts them, taken their bytes that were accepted, those in the sockets' buffers too.
	answers, taken atomic.Int64
}

func newEndlessServer(t *testing.T, start, pattern string) *endlessServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	s := &endlessServer{addr: lis.Addr().String()}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, start, bytes.Repeat([]byte(pattern), 4096/len(pattern)))
		}
	}()
	return s
}

func (s *endlessServer) serve(conn net.Conn, start string, piece []byte) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if site.GrantReservation(conn, r) {
		return
	}
	s.answers.Add(1)
	_, err = io.WriteString(conn, strings.ReplaceAll(start, "ID", r.Header.Get(site.RequestID)))
	for err == nil {
		var n int
		n, err = conn.Write(piece)
		s.taken.Add(int64(n))
	}
}

// peakMemory returns the most memory that a process has held, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	peak := residentPeak(pid)
	assert.Assert(t, peak > 0, "no peak of memory")
	return peak
}

// residentPeak is peakMemory, or zero if the process is gone.
func residentPeak(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0
			}
			return kB << 10
		}
	}
	return 0
}
