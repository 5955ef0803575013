package capacity

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/hibiscusspur/hibiscusspur/sidecar"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// Frames counts the frames of one kind on links.
type Frames struct {
	Kind  string `json:"kind"`
	Count int64  `json:"count"`
	// Bytes is the encoded size of the frames; Payload is the part of it that is text of
	// prompts and answers or bodies of service calls.
	Bytes   int64 `json:"bytes"`
	Payload int64 `json:"payload"`
}

func (f Frames) mean(total int64) float64 { return float64(total) / float64(max(f.Count, 1)) }

// frameCounter counts the frames of all links of a farm. It is safe for concurrent use.
type frameCounter struct {
	mu    sync.Mutex
	kinds map[string]*Frames
}

func newFrameCounter() *frameCounter { return &frameCounter{kinds: make(map[string]*Frames)} }

func (b *frameCounter) record(kind string, size, payload int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.kinds[kind]
	if f == nil {
		f = &Frames{Kind: kind}
		b.kinds[kind] = f
	}
	f.Count++
	f.Bytes += int64(size)
	f.Payload += int64(payload)
}

// takeCounts returns the counts since the last call, sorted by kind.
func (b *frameCounter) takeCounts() []Frames {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Frames
	for _, f := range b.kinds {
		out = append(out, *f)
	}
	clear(b.kinds)
	slices.SortFunc(out, func(a, c Frames) int { return strings.Compare(a.Kind, c.Kind) })
	return out
}

// countingServer is a sidecar whose frames are counted.
type countingServer struct {
	*sidecar.Server
	counter *frameCounter
}

// Session implements wire.DRPCSidecarServer.
func (s countingServer) Session(stream wire.DRPCSidecar_SessionStream) error {
	return s.Server.Session(countingStream{stream, s.counter})
}

type countingStream struct {
	wire.DRPCSidecar_SessionStream
	counter *frameCounter
}

// GetStream exposes the underlying stream, so that the link can flush it.
func (s countingStream) GetStream() drpc.Stream {
	return s.DRPCSidecar_SessionStream.(interface{ GetStream() drpc.Stream }).GetStream()
}

// Send implements wire.DRPCSidecar_SessionStream.
func (s countingStream) Send(f *wire.SidecarFrame) error {
	s.counter.record(kind("sidecar", f.GetBody()), proto.Size(f), answerBytes(f))
	return s.DRPCSidecar_SessionStream.Send(f)
}

// Recv implements wire.DRPCSidecar_SessionStream.
func (s countingStream) Recv() (*wire.EntryFrame, error) {
	f, err := s.DRPCSidecar_SessionStream.Recv()
	if err == nil {
		s.counter.record(kind("entry", f.GetBody()), proto.Size(f), promptBytes(f))
	}
	return f, err
}

// kind names the sender and the kind of a frame by the type of its body.
func kind(sender string, body any) string {
	name := fmt.Sprintf("%T", body)
	_, name, _ = strings.Cut(name, "_")
	return sender + " " + strings.ToLower(name)
}

func answerBytes(f *wire.SidecarFrame) int {
	n := len(f.GetReply().GetBody())
	for _, t := range f.GetChunk().GetTokens() {
		n += len(t)
	}
	return n
}

func promptBytes(f *wire.EntryFrame) int {
	return len(f.GetPrefill().GetPrompt()) + len(f.GetStart().GetPrompt()) + len(f.GetStart().GetPrior()) + len(f.GetCall().GetBody())
}
