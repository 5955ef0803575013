package entry

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// memorySink buffers what a caller would have received.
type memorySink struct {
	text      strings.Builder
	doneCalls int
}

func (s *memorySink) tokens(t []string) error {
	s.text.WriteString(strings.Join(t, ""))
	return nil
}

func (s *memorySink) done(*wire.Done) error {
	s.doneCalls++
	return nil
}

var (
	current = wire.Key{RequestID: "r", Attempt: 2}
	earlier = wire.Key{RequestID: "r", Attempt: 1}
	other   = wire.Key{RequestID: "s", Attempt: 2}
)

func chunkFrame(k wire.Key, position int, text string) *wire.SidecarFrame {
	return &wire.SidecarFrame{Body: &wire.SidecarFrame_Chunk{Chunk: &wire.Chunk{
		Ref: k.Ref(), Position: uint32(position), Tokens: strings.Split(text, ""),
	}}}
}

func doneFrame(k wire.Key, total int) *wire.SidecarFrame {
	return &wire.SidecarFrame{Body: &wire.SidecarFrame_Done{Done: &wire.Done{Ref: k.Ref(), Total: uint32(total)}}}
}

// TestAnswerOrder: whatever the order in which frames arrive, a caller gets each token of its own answer
// once, and the end of the answer only after all of them.
func TestAnswerOrder(t *testing.T) {
	const completed, failed, open = outcome.Completed, outcome.Failed, outcome.Kind(0)
	for _, c := range []struct {
		name   string
		frames []*wire.SidecarFrame
		text   string
		kind   outcome.Kind // open while the answer is not complete
	}{
		{"in order", []*wire.SidecarFrame{chunkFrame(current, 0, "ab"), chunkFrame(current, 2, "cd"), doneFrame(current, 4)}, "abcd", completed},
		{"doubled", []*wire.SidecarFrame{chunkFrame(current, 0, "ab"), chunkFrame(current, 0, "ab"), chunkFrame(current, 2, "cd"), doneFrame(current, 4)}, "abcd", completed},
		{"overlapping", []*wire.SidecarFrame{chunkFrame(current, 0, "abc"), chunkFrame(current, 1, "bcd"), doneFrame(current, 4)}, "abcd", completed},
		{"late", []*wire.SidecarFrame{chunkFrame(current, 2, "cd"), chunkFrame(current, 0, "ab"), chunkFrame(current, 2, "cd"), doneFrame(current, 4)}, "abcd", completed},
		{"missing in the middle", []*wire.SidecarFrame{chunkFrame(current, 0, "ab"), chunkFrame(current, 3, "d"), doneFrame(current, 4)}, "ab", open},
		{"missing at the end", []*wire.SidecarFrame{chunkFrame(current, 0, "abc"), doneFrame(current, 4)}, "abc", open},
		{"missing, sent again", []*wire.SidecarFrame{chunkFrame(current, 0, "ab"), doneFrame(current, 4), chunkFrame(current, 2, "cd"), doneFrame(current, 4)}, "abcd", completed},
		{"end twice", []*wire.SidecarFrame{chunkFrame(current, 0, "abcd"), doneFrame(current, 4), doneFrame(current, 4)}, "abcd", completed},
		{"more tokens than the stated total", []*wire.SidecarFrame{chunkFrame(current, 0, "abcd"), doneFrame(current, 3)}, "abcd", failed},
		{"interleaved with another request", []*wire.SidecarFrame{chunkFrame(current, 0, "ab"), chunkFrame(other, 2, "xy"), chunkFrame(current, 2, "cd"), doneFrame(current, 4)}, "abcd", completed},
		{"end of another request", []*wire.SidecarFrame{chunkFrame(current, 0, "ab"), doneFrame(other, 2)}, "ab", open},
		{"tail of an earlier attempt", []*wire.SidecarFrame{chunkFrame(earlier, 0, "xy"), chunkFrame(current, 0, "ab"), doneFrame(earlier, 2), chunkFrame(current, 2, "cd"), doneFrame(current, 4)}, "abcd", completed},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPeer(nil, contract.Backend{})
			sink := &memorySink{}
			a := &attempt{r: &request{out: sink}, key: current, decode: p.openFlow(current), servers: servers{decode: p, prefill: p}}
			for _, f := range c.frames {
				p.deliver(f)
			}
			var end outcome.Outcome
			for ended := false; !ended; {
				it, ok := a.decode.pop()
				if !ok {
					break
				}
				end, ended = a.handle(it.frame)
			}
			assert.Equal(t, sink.text.String(), c.text)
			assert.Equal(t, end.Kind, c.kind)
			assert.Equal(t, sink.doneCalls == 1, c.kind == completed)
		})
	}
}
