package httpserver

import (
	"net/http"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
)

// processor checks the parts of a request before nbhttp processes them.
type processor struct {
	nbhttp.Processor
	conn *conn
}

func (p *processor) reject(status int) {
	if p.conn.rejectStatus == 0 {
		p.conn.rejectStatus = status
	}
}

// OnMethod implements nbhttp.Processor.
func (p *processor) OnMethod(parser *nbhttp.Parser, method string) {
	c := p.conn
	c.headers, c.contentLengths, c.expectsContinue, c.chunked = 0, 0, false, false
	c.method, c.fields, c.headChecked = method, c.fields[:0], false
	p.Processor.OnMethod(parser, method)
}

// OnURL implements nbhttp.Processor.
func (p *processor) OnURL(parser *nbhttp.Parser, target string) error {
	p.conn.target = target
	p.conn.lineBytes = len(p.conn.method) + len(target) + len(" HTTP/1.1\r\n") + 1
	return p.Processor.OnURL(parser, target)
}

// OnHeader implements nbhttp.Processor.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	c := p.conn
	c.headers++
	if c.headers > c.server.opts.MaxHeaders {
		p.reject(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	switch key {
	case "Content-Length":
		// A load balancer in front could choose the other of two lengths (request smuggling).
		if c.contentLengths++; c.contentLengths > 1 {
			p.reject(http.StatusBadRequest)
		}
	case "Transfer-Encoding":
		c.chunked = true
	case "Expect":
		c.expectsContinue = strings.EqualFold(strings.TrimSpace(value), "100-continue")
	}
	if c.server.opts.CheckHead != nil {
		c.fields = append(c.fields, key, value)
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnContentLength implements nbhttp.Processor; nbhttp calls it before the last byte of the head.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	c := p.conn
	c.hasBody, c.length = c.chunked || length > 0, int64(max(length, 0))
	if c.headTooLong() {
		p.reject(http.StatusRequestHeaderFieldsTooLarge)
	}
	if length > c.limits.BodyBytes {
		p.reject(http.StatusRequestEntityTooLarge)
	} else if length > 0 {
		c.expect(int64(length))
	}
	if c.expectsContinue && c.hasBody && c.rejectStatus == 0 {
		c.answerExpectation()
	}
	p.Processor.OnContentLength(parser, length)
}

// OnComplete implements nbhttp.Processor.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	c := p.conn
	c.hasBody, c.inBody, c.completed, c.lineBytes = false, false, true, 0
	c.arriving.Store(false)
	c.received()
	c.expect(0)
	if c.readTimer != nil {
		c.readTimer.Stop()
		c.readTimer = nil
	}
	if c.rejectStatus != 0 || !c.takeRoom() {
		p.Clean(parser)
		return
	}
	p.Processor.OnComplete(parser)
}
