package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
)

const maxStreamLine = 64 << 10

// httpStream reads newline-delimited events from a response body.
type httpStream struct {
	ctx   context.Context
	body  io.ReadCloser
	lines *bufio.Scanner
	ended bool
}

func newStream(ctx context.Context, body io.ReadCloser) *httpStream {
	s := &httpStream{ctx: ctx, body: body, lines: bufio.NewScanner(body)}
	s.lines.Buffer(nil, maxStreamLine)
	return s
}

// Next returns io.EOF after the final event, the context's error when the context
// ended, and the engine's error when the engine ended the run.
func (s *httpStream) Next() (StreamEvent, error) {
	if s.ended {
		return StreamEvent{}, io.EOF
	}
	if !s.lines.Scan() {
		return StreamEvent{}, s.scanError()
	}
	var line StreamLine
	if err := json.Unmarshal(s.lines.Bytes(), &line); err != nil {
		return StreamEvent{}, wrap(io.ErrUnexpectedEOF, err)
	}
	if line.Error != nil {
		return StreamEvent{}, wrap(line.Error.Code.Err(), errors.New(line.Error.Message))
	}
	s.ended = line.Done
	return line.StreamEvent, nil
}

func (s *httpStream) scanError() error {
	if err := s.ctx.Err(); err != nil {
		return err
	}
	if err := s.lines.Err(); err != nil {
		return wrap(io.ErrUnexpectedEOF, err)
	}
	return io.ErrUnexpectedEOF
}

// Close may be called from another goroutine to unblock Next.
func (s *httpStream) Close() error {
	return s.body.Close()
}
