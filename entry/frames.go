package entry

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// handle processes one frame of the sidecar.
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
		p.pool.headAnnounced(p, b.Welcome.GetHeadRevision())
	case *wire.SidecarFrame_Beat:
		l.ReceiveHeartbeat(time.Duration(b.Beat.GetIntervalMs()) * time.Millisecond)
		p.onBeat(b.Beat)
		p.pool.headAnnounced(p, b.Beat.GetHeadRevision())
	case *wire.SidecarFrame_Records:
		p.onRecords(b.Records)
	case *wire.SidecarFrame_Suspects:
		p.pool.receiveSuspects(b.Suspects, p.backend.ID)
	default:
		p.deliver(f)
	}
}

func (p *peer) onWelcome(l *entryLink, w *wire.Welcome) {
	event.LinkUp.Log(p.pool.log).Str("backend", p.backend.ID).Str("incarnation", w.GetIncarnation()).Msg("")
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		return // a repeated welcome on a link carries no new information
	}
	if w.GetIncarnation() != p.welcome.GetIncarnation() {
		p.leaving = false
	}
	p.link = l
	p.welcome = w
	p.sentRevision = w.GetHeadRevision()
	p.confirmedRevision = w.GetHeadRevision() // a new incarnation may have less than the earlier one
	close(p.up)
}

func (p *peer) onLoad(load *wire.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load = load
	p.loadAt = time.Now()
	p.placedSinceReport, p.tokensSinceReport = 0, 0
}

func (p *peer) onBeat(b *wire.SidecarBeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = b.GetLeaving()
	p.sentRevision = max(p.sentRevision, b.GetHeadRevision())
	p.confirmedRevision = max(p.confirmedRevision, b.GetHeadRevision())
	p.sendMissingRecords()
}

// sendHeartbeat sends a heartbeat at once when a link is up.
func (p *peer) sendHeartbeat() {
	p.mu.Lock()
	l := p.link
	p.mu.Unlock()
	if l != nil {
		l.SendHeartbeat()
	}
}

// sendMissingRecords sends the sidecar the configuration records that it lacks. A newly linked sidecar
// requests them by a heartbeat, and not from every entry. The caller holds mu.
func (p *peer) sendMissingRecords() {
	if p.link == nil || p.sentRevision >= p.pool.state.Head() {
		return
	}
	d := p.pool.state.Since(p.sentRevision)
	p.sentRevision = d.Head
	_ = p.link.Send(&wire.EntryFrame{Body: &wire.EntryFrame_Records{Records: dissemination.ToWire(d)}})
}

func (p *peer) onRecords(m *wire.Records) {
	applied, err := p.pool.state.Apply(dissemination.FromWire(m))
	if err != nil {
		event.RecordInvalid.Log(p.pool.log).Str("backend", p.backend.ID).Err(err).Msg("")
	}
	if applied {
		event.RevisionRestored.Log(p.pool.log).Str("backend", p.backend.ID).Uint64("revision", m.GetHead()).Msg("")
	}
}

// deliver passes a frame to the attempt that it belongs to; frames of attempts that have ended are dropped.
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
