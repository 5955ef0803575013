package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// lastEventID is the header of the last event that a client has received.
const lastEventID = "Last-Event-Id"

// attempt is one attempt of a client at one gateway.
type attempt struct {
	id      string
	gateway *gateway
	// resumes is the ID of the attempt that began the stream, after the number of its last event; empty for a new stream.
	resumes string
	after   int
	// timeout is how long the client waits for the whole answer.
	timeout time.Duration
	// parts are shared parts of the prompt, and path is that of the route; empty for the usual ones.
	parts []string
	path  string
}

// answer is what the client got.
type answer struct {
	status int
	// engine is the engine that signed the answer.
	engine string
	// events are the numbers of the events received, last the number of the last one.
	events, last int
	whole        bool
	retryAfter   time.Duration
	err          error
}

// send sends an attempt and reads its answer until its end, or until no event has come for abandonAfter.
func (s *scene) send(a attempt) (out answer) {
	out.last = a.after
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	silence := time.AfterFunc(abandonAfter, cancel)
	defer silence.Stop()
	s.note("client sends %s to edge-%d%s", a.id, a.gateway.number, a.resumption())
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(a.request(ctx))
	if err != nil {
		out.err = err
		s.note("%s: no answer: %v", a.id, shortError(err))
		return out
	}
	defer func() { _ = res.Body.Close() }()
	out.status, out.engine = res.StatusCode, res.Header.Get(site.Stamp)
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	s.note("%s: status %d, signed by %q %s", a.id, out.status, out.engine, s.versionOf(out.engine))
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if number, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			silence.Reset(abandonAfter)
			out.events++
			out.last, _ = strconv.Atoi(number)
		}
	}
	out.err = lines.Err()
	out.whole = out.err == nil && out.status == http.StatusOK && out.last == site.Events
	s.note("%s: %d events, the last is %d, whole: %v, %v", a.id, out.events, out.last, out.whole, shortError(out.err))
	return out
}

func shortError(err error) string {
	switch {
	case err == nil:
		return "no error"
	case errors.Is(err, context.Canceled):
		return "no event for too long"
	case errors.Is(err, context.DeadlineExceeded):
		return "time limit"
	default:
		return err.Error()
	}
}

func (a attempt) resumption() string {
	if a.resumes == "" {
		return ""
	}
	return fmt.Sprintf(", which takes up %s after event %d", a.resumes, a.after)
}

func (a attempt) request(ctx context.Context) *http.Request {
	path, parts := routePath, "5c1e07a2:800,"
	if a.path != "" {
		path, parts = a.path, ""
		for _, p := range a.parts {
			parts += p + ":400,"
		}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.gateway.front.addr+path+"draft", strings.NewReader("a prompt of "+a.id))
	must(err)
	r.Host = routeHost
	r.Header.Set(site.RequestID, a.id)
	r.Header.Set(site.Deadline, strconv.FormatInt(a.timeout.Milliseconds(), 10))
	r.Header.Set(strings.TrimSuffix(site.Tokens, "Tokens")+"Model", "m")
	r.Header.Set(site.Tokens, "1460,55")
	r.Header.Set(site.Parts, parts+a.id+":660")
	if a.resumes != "" {
		r.Header.Set(site.Resumes, a.resumes)
		r.Header.Set(lastEventID, strconv.Itoa(a.after))
	}
	return r
}

// sleepUntil sleeps until a time after the start of the scene.
func (s *scene) sleepUntil(at time.Duration) { time.Sleep(time.Until(s.start.Add(at))) }
