package sidecar

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcerr"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// session is the link to one entry.
type session struct {
	link  *link.Link[wire.SidecarFrame, wire.EntryFrame]
	entry *wire.Hello
	// active is true while runs of this entry are in progress.
	active atomic.Bool
	// loadAt is when the load was last told. Guarded by Server.mu.
	loadAt time.Time
	// demandAt is when demand was last told. Guarded by Server.mu.
	demandAt time.Time
	// has is the revision that the entry says it has, told the one handed to it.
	// Guarded by Server.mu.
	has, told uint64
}

func (s *session) send(f *wire.SidecarFrame) { _ = s.link.Send(f) }

// Session implements wire.DRPCSidecarServer. It returns when the link ends.
func (s *Server) Session(stream wire.DRPCSidecar_SessionStream) error {
	transport := transportOf(stream)
	mute := time.AfterFunc(s.set.Timing.Silence, func() { _ = transport.Close() })
	first, err := stream.Recv()
	mute.Stop()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello.GetProtocol() != wire.Protocol || hello.GetIncarnation() == "" {
		event.LinkRefused.Log(s.log).Str("entry", hello.GetEntryId()).
			Uint32("protocol", hello.GetProtocol()).Uint32("own_protocol", wire.Protocol).Msg("")
		return drpcerr.WithCode(errProtocol, wire.CodeProtocol)
	}
	sess := &session{entry: hello}
	opts := link.Options[wire.SidecarFrame]{
		HeartbeatInterval:     s.set.Timing.Beat,
		IdleHeartbeatInterval: s.set.Timing.IdleBeat,
		SilenceLimit:          s.set.Timing.Silence,
		QueueLimit:            s.set.Bounds.LinkQueue,
		Active:                sess.active.Load,
		MakeHeartbeat:         func(interval time.Duration) *wire.SidecarFrame { return s.beatTo(sess, interval) },
		Transport:             transport,
		OnDropped: func(err error) {
			event.FrameDropped.Log(s.log).Str("entry", hello.GetEntryId()).Err(err).Msg("")
		},
	}
	sess.link = link.New(stream, opts)
	s.join(sess)
	defer s.leave(sess)
	err = sess.link.Run(s.ctx, func(f *wire.EntryFrame) { s.handle(sess, f) })
	endOf(err).Log(s.log).Str("entry", hello.GetEntryId()).Err(err).Msg("")
	return err
}

// endOf is the event that tells why a link ended.
func endOf(err error) event.Event {
	if errors.Is(err, link.ErrUnresponsive) {
		return event.LinkSilent
	}
	return event.LinkDown
}

// transportOf returns the connection under a stream, for closing it.
func transportOf(stream drpc.Stream) io.Closer {
	if tr, ok := drpcctx.Transport(stream.Context()); ok {
		return tr
	}
	return stream
}

func (s *Server) join(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[sess] = struct{}{}
	s.lease(sess)
	sess.send(&wire.SidecarFrame{Body: &wire.SidecarFrame_Welcome{Welcome: &wire.Welcome{
		Protocol:     wire.Protocol,
		BackendId:    s.set.ID,
		Incarnation:  s.incarnation,
		Zone:         s.set.Zone,
		HeadRevision: s.state.Head(),

		PrefillTokensPerSecond: uint32(s.info.PrefillTokensPerSecond),
		LinkBytesPerSecond:     uint64(s.info.LinkBytesPerSecond),
		KvBytesPerToken:        uint32(s.info.KVBytesPerToken),
	}}})
	sess.has = sess.entry.GetHeadRevision()
	s.offered(sess)
	event.LinkUp.Log(s.log).Str("entry", sess.entry.GetEntryId()).Msg("")
}

func (s *Server) leave(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
	s.pull.Forget(sess)
	for _, r := range s.runs {
		if r.sess == sess {
			r.sess = nil
			r.detached = time.Now()
		}
	}
}

// offered asks for the head that the entry has stated when this server lacks it.
// An entry that lacks this server's asks for it likewise, so that one with many
// links is not handed the same by each. The caller holds mu.
func (s *Server) offered(sess *session) {
	if s.pull.Offer(sess, sess.has, s.state.Head(), time.Now()) {
		sess.send(s.makeBeat(sess.link.HeartbeatInterval()))
	}
}

// heal hands the entry what it lacks of the configuration. The caller holds mu.
func (s *Server) heal(sess *session, has uint64) {
	from := max(has, sess.told)
	if from >= s.state.Head() {
		return
	}
	d := s.state.Since(from)
	sess.told = d.Head
	sess.send(&wire.SidecarFrame{Body: &wire.SidecarFrame_Records{Records: dissemination.ToWire(d)}})
}

func (s *Server) beat(interval time.Duration) *wire.SidecarFrame {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.makeBeat(interval)
}

// beatTo is a heartbeat for one entry, which may tell the demand of customers.
func (s *Server) beatTo(sess *session, interval time.Duration) *wire.SidecarFrame {
	f := s.beat(interval)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addDemand(sess, f, time.Now())
	return f
}

// announce tells every entry that is behind of a new head; one that lacks it
// answers with its own and is handed the records. The caller must not hold mu.
func (s *Server) announce() {
	for _, sess := range s.behind() {
		sess.link.SendHeartbeat()
	}
}

func (s *Server) behind() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*session
	for sess := range s.sessions {
		if sess.has < s.state.Head() {
			out = append(out, sess)
		}
	}
	return out
}

// pullRetry asks for a revision that was announced and has not come. The caller holds mu.
func (s *Server) pullRetry(now time.Time) {
	if sess, ok := s.pull.Retry(s.state.Head(), now); ok {
		sess.send(s.makeBeat(sess.link.HeartbeatInterval()))
	}
}

// makeBeat builds a heartbeat. The caller holds mu.
func (s *Server) makeBeat(interval time.Duration) *wire.SidecarFrame {
	return &wire.SidecarFrame{
		Load: s.load(),
		Body: &wire.SidecarFrame_Beat{Beat: &wire.SidecarBeat{
			HeadRevision: s.state.Head(),
			Leaving:      s.leaving.Leaving(),
			IntervalMs:   uint32(interval.Milliseconds()),
		}},
	}
}

// loadInterval is how often the load is told to one entry, at most.
const loadInterval = 100 * time.Millisecond

// addLoad lets the load ride on a frame. The caller holds mu.
func (s *Server) addLoad(sess *session, f *wire.SidecarFrame) {
	if now := time.Now(); now.Sub(sess.loadAt) >= loadInterval {
		sess.loadAt = now
		f.Load = s.load()
	}
}

func (s *Server) sendLoaded(sess *session, f *wire.SidecarFrame) {
	s.addLoad(sess, f)
	sess.send(f)
}

// load is the sidecar's own view of its promises. The caller holds mu.
func (s *Server) load() *wire.Load {
	return s.adm.load(time.Now())
}
