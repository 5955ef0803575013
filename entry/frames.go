package entry

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// handle takes one frame of the sidecar.
func (p *peer) handle(l *entryLink, f *wire.SidecarFrame) {
	if f.GetLoad() != nil {
		p.onLoad(f.GetLoad())
	}
	if len(f.GetDemands()) > 0 {
		p.onDemand(f.GetDemands())
	}
	switch b := f.GetBody().(type) {
	case *wire.SidecarFrame_Welcome:
		p.onWelcome(l, b.Welcome)
		p.pool.offered(p, b.Welcome.GetHeadRevision())
	case *wire.SidecarFrame_Beat:
		l.ReceiveHeartbeat(time.Duration(b.Beat.GetIntervalMs()) * time.Millisecond)
		p.onBeat(b.Beat)
		p.pool.offered(p, b.Beat.GetHeadRevision())
	case *wire.SidecarFrame_Records:
		p.onRecords(b.Records)
	default:
		p.deliver(f)
	}
}

func (p *peer) onWelcome(l *entryLink, w *wire.Welcome) {
	event.LinkUp.Log(p.pool.log).Str("backend", p.backend.ID).Str("incarnation", w.GetIncarnation()).Msg("")
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		return // a second welcome on one link says nothing new
	}
	if w.GetIncarnation() != p.welcome.GetIncarnation() {
		p.leaving = false
	}
	p.link = l
	p.welcome = w
	p.told = w.GetHeadRevision()
	p.confirmed = w.GetHeadRevision() // a new incarnation knows less than the earlier one
	close(p.up)
}

func (p *peer) onLoad(load *wire.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load = load
	p.loadAt = time.Now()
	p.placedSince, p.tokensSince = 0, 0
}

func (p *peer) onBeat(b *wire.SidecarBeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = b.GetLeaving()
	p.told = max(p.told, b.GetHeadRevision())
	p.confirmed = max(p.confirmed, b.GetHeadRevision())
	p.heal()
}

// beatNow sends a heartbeat at once when a link is up.
func (p *peer) beatNow() {
	p.mu.Lock()
	l := p.link
	p.mu.Unlock()
	if l != nil {
		l.SendHeartbeat()
	}
}

// heal hands the sidecar what it lacks of the configuration. One that has just
// been linked asks for it by a heartbeat, and not every entry. The caller holds mu.
func (p *peer) heal() {
	if p.link == nil || p.told >= p.pool.state.Head() {
		return
	}
	d := p.pool.state.Since(p.told)
	p.told = d.Head
	_ = p.link.Send(&wire.EntryFrame{Body: &wire.EntryFrame_Records{Records: dissemination.ToWire(d)}})
}

func (p *peer) onRecords(m *wire.Records) {
	applied, err := p.pool.state.Apply(dissemination.FromWire(m))
	if err != nil {
		event.RecordInvalid.Log(p.pool.log).Str("backend", p.backend.ID).Err(err).Msg("")
	}
	if applied {
		event.RevisionHealed.Log(p.pool.log).Str("backend", p.backend.ID).Uint64("revision", m.GetHead()).Msg("")
	}
}

// deliver hands a frame to the attempt that it belongs to; frames of attempts
// that are over are dropped.
func (p *peer) deliver(f *wire.SidecarFrame) {
	key, ok := frameKey(f)
	if !ok {
		return
	}
	p.mu.Lock()
	fl := p.flows[key]
	p.mu.Unlock()
	if fl != nil {
		fl.push(flowItem{frame: f})
	}
}

func frameKey(f *wire.SidecarFrame) (wire.Key, bool) {
	var ref *wire.Ref
	switch b := f.GetBody().(type) {
	case *wire.SidecarFrame_Granted:
		ref = b.Granted.GetRef()
	case *wire.SidecarFrame_Refused:
		ref = b.Refused.GetRef()
	case *wire.SidecarFrame_Prefilled:
		ref = b.Prefilled.GetRef()
	case *wire.SidecarFrame_Chunk:
		ref = b.Chunk.GetRef()
	case *wire.SidecarFrame_Done:
		ref = b.Done.GetRef()
	case *wire.SidecarFrame_Fenced:
		ref = b.Fenced.GetRef()
	case *wire.SidecarFrame_Reply:
		ref = b.Reply.GetRef()
	case *wire.SidecarFrame_Claimed:
		ref = b.Claimed.GetRef()
	}
	return ref.Key(), ref != nil
}
