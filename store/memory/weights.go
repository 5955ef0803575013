package memory

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// blob holds the weights of a model version.
type blob struct {
	content io.ReaderAt
	size    int64
}

type weights struct {
	p       *Platform
	mu      sync.RWMutex
	content map[string]blob
}

// SetWeights stores the weights of a model version. It retains body, which the
// caller must not change afterwards.
func (p *Platform) SetWeights(model, version string, body []byte) {
	p.weights.set(model, version, blob{bytes.NewReader(body), int64(len(body))})
}

// SetPatternWeights stores size bytes of a fixed pattern, generated on read without
// taking memory.
func (p *Platform) SetPatternWeights(model, version string, size int64) {
	p.weights.set(model, version, blob{pattern{}, size})
}

func (w *weights) set(model, version string, b blob) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.content[weightKey(model, version)] = b
}

// Open implements store.Weights. The returned stream is a Stream.
func (w *weights) Open(ctx context.Context, model, version string) (io.ReadCloser, error) {
	if model == "" || version == "" {
		return nil, store.Invalid("empty model or version")
	}
	var b blob
	key := weightKey(model, version)
	op := Op{Port: PortWeights, Name: "open", Key: key}
	err := w.p.call(ctx, op, w.mu.RLocker(), func() error {
		found, ok := w.content[key]
		if !ok {
			return store.ErrNotFound
		}
		b = found
		return nil
	})
	if err != nil {
		return nil, err
	}
	return Stream{io.NewSectionReader(b.content, 0, b.size)}, nil
}

// Stream is an open stream of weights. Size returns its length in bytes.
type Stream struct {
	*io.SectionReader
}

// Close implements io.Closer.
func (Stream) Close() error { return nil }

func weightKey(model, version string) string {
	return model + "\x00" + version
}

// pattern is unlimited data in which each byte is the low byte of its offset.
type pattern struct{}

// ReadAt implements io.ReaderAt.
func (pattern) ReadAt(p []byte, off int64) (int, error) {
	for i := range p {
		p[i] = byte(off + int64(i))
	}
	return len(p), nil
}
