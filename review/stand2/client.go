package stand2

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// Received is one event that a client received.
type Received struct {
	ID   int
	Data string
}

// Answer is what a client got in one attempt.
type Answer struct {
	Status int
	Header http.Header
	Events []Received
	Body   string
	// Whole is set if the answer ended as a whole one.
	Whole bool
	Err   error
}

// Request is one client attempt.
type Request struct {
	ID, Host, Path, Method string
	Prompt, Out            int
	Part                   string
	Deadline               time.Duration
	LastEvent, Resumes     string
	Body                   string
}

// Do makes one attempt at a gateway over a connection of its own.
func Do(front string, q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+front+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return Answer{Err: err}
	}
	r.Host = q.Host
	r.Header.Set(site.RequestID, q.ID)
	r.Header.Set(site.Deadline, strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	if q.Prompt > 0 {
		r.Header.Set(site.Tokens, fmt.Sprintf("%d,%d", q.Prompt, q.Out))
		r.Header.Set(site.Parts, fmt.Sprintf("%s:200,%x:%d", q.Part, q.ID, q.Prompt-200))
		r.Header.Set(prefix+"Model", "m")
	}
	if q.LastEvent != "" {
		r.Header.Set(headerLastEvent, q.LastEvent)
		r.Header.Set(site.Resumes, q.Resumes)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(r)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	a := Answer{Status: res.StatusCode, Header: res.Header}
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(res.Body)
		a.Body, a.Err, a.Whole = string(body), err, err == nil
		return a
	}
	br := bufio.NewReaderSize(res.Body, 64<<10)
	var e Received
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			a.Whole = errors.Is(err, io.EOF) && line == ""
			if !a.Whole {
				a.Err = err
			}
			return a
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case line == "":
			if e.Data != "" {
				a.Events = append(a.Events, e)
			}
			e = Received{}
		case strings.HasPrefix(line, "id: "):
			e.ID, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			e.Data = line[len("data: "):]
		}
	}
}

// Raw sends bytes over a connection of its own and reads the answers until there is none for a while.
func Raw(front, text string, idle time.Duration) (answers []Answer, err error) {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	br := bufio.NewReader(conn)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return answers, err
		}
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			return answers, nil
		}
		body, err := io.ReadAll(res.Body)
		answers = append(answers, Answer{Status: res.StatusCode, Header: res.Header, Body: string(body), Whole: err == nil, Err: err})
	}
}
