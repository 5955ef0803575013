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
	// loadSentAt is when the load was last sent. Guarded by Server.mu.
	loadSentAt time.Time
	// demandSentAt is when demand was last sent. Guarded by Server.mu.
	demandSentAt time.Time
	// peerRevision is the revision that the entry has reported, sentRevision the latest
	// one sent to it. Guarded by Server.mu.
	peerRevision, sentRevision uint64
}

func (s *session) send(f *wire.SidecarFrame) { _ = s.link.Send(f) }

// Session implements wire.DRPCSidecarServer. It returns when the link ends.
func (s *Server) Session(stream wire.DRPCSidecar_SessionStream) error {
	transport := transportOf(stream)
	helloTimer := time.AfterFunc(s.set.Timing.Silence, func() { _ = transport.Close() })
	first, err := stream.Recv()
	helloTimer.Stop()
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
		HeartbeatInterval:     s.set.Timing.Heartbeat,
		IdleHeartbeatInterval: s.set.Timing.IdleHeartbeat,
		SilenceLimit:          s.set.Timing.Silence,
		QueueLimit:            s.set.Bounds.LinkQueue,
		Active:                sess.active.Load,
		MakeHeartbeat:         func(interval time.Duration) *wire.SidecarFrame { return s.heartbeatTo(sess, interval) },
		Transport:             transport,
		OnDropped: func(err error) {
			event.FrameDropped.Log(s.log).Str("entry", hello.GetEntryId()).Err(err).Msg("")
		},
	}
	sess.link = link.New(stream, opts)
	s.addSession(sess)
	defer s.removeSession(sess)
	err = sess.link.Run(s.ctx, func(f *wire.EntryFrame) { s.handle(sess, f) })
	linkEndEvent(err).Log(s.log).Str("entry", hello.GetEntryId()).Err(err).Msg("")
	return err
}

// linkEndEvent returns the log event for the error that ended a link.
func linkEndEvent(err error) event.Event {
	if errors.Is(err, link.ErrUnresponsive) {
		return event.LinkUnresponsive
	}
	return event.LinkDown
}

// transportOf returns the connection of a stream, so that it can be closed.
func transportOf(stream drpc.Stream) io.Closer {
	if tr, ok := drpcctx.Transport(stream.Context()); ok {
		return tr
	}
	return stream
}

func (s *Server) addSession(sess *session) {
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
	sess.peerRevision = sess.entry.GetHeadRevision()
	s.pullIfBehind(sess)
	event.LinkUp.Log(s.log).Str("entry", sess.entry.GetEntryId()).Msg("")
}

func (s *Server) removeSession(sess *session) {
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

// pullIfBehind requests the head revision that the entry has announced if this server
// lacks it. An entry that lacks this server's revision requests it likewise, so that
// an entry with many links does not receive the same records on each. The caller holds
// mu.
func (s *Server) pullIfBehind(sess *session) {
	if s.pull.Offer(sess, sess.peerRevision, s.state.Head(), time.Now()) {
		sess.send(s.makeHeartbeat(sess.link.HeartbeatInterval()))
	}
}

// sendRecords sends the entry the configuration records newer than entryRevision that
// were not sent to it yet. The caller holds mu.
func (s *Server) sendRecords(sess *session, entryRevision uint64) {
	from := max(entryRevision, sess.sentRevision)
	if from >= s.state.Head() {
		return
	}
	d := s.state.Since(from)
	sess.sentRevision = d.Head
	sess.send(&wire.SidecarFrame{Body: &wire.SidecarFrame_Records{Records: dissemination.ToWire(d)}})
}

func (s *Server) heartbeat(interval time.Duration) *wire.SidecarFrame {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.makeHeartbeat(interval)
}

// heartbeatTo returns a heartbeat for one entry, which may report the demand of
// customers.
func (s *Server) heartbeatTo(sess *session, interval time.Duration) *wire.SidecarFrame {
	f := s.heartbeat(interval)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addDemand(sess, f, time.Now())
	return f
}

// announce announces a new head to every entry that is behind. The entry answers with
// its own head and is then sent the records. The caller must not hold mu.
func (s *Server) announce() {
	for _, sess := range s.sessionsBehind() {
		sess.link.SendHeartbeat()
	}
}

func (s *Server) sessionsBehind() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*session
	for sess := range s.sessions {
		if sess.peerRevision < s.state.Head() {
			out = append(out, sess)
		}
	}
	return out
}

// retryPull requests again an announced revision that has not arrived. The caller
// holds mu.
func (s *Server) retryPull(now time.Time) {
	if sess, ok := s.pull.Retry(s.state.Head(), now); ok {
		sess.send(s.makeHeartbeat(sess.link.HeartbeatInterval()))
	}
}

// makeHeartbeat builds a heartbeat. The caller holds mu.
func (s *Server) makeHeartbeat(interval time.Duration) *wire.SidecarFrame {
	return &wire.SidecarFrame{
		Load: s.load(),
		Body: &wire.SidecarFrame_Beat{Beat: &wire.SidecarBeat{
			HeadRevision: s.state.Head(),
			Leaving:      s.leaving.Leaving(),
			IntervalMs:   uint32(interval.Milliseconds()),
		}},
	}
}

// minLoadInterval is the minimum interval between load reports to one entry, other
// than in heartbeats.
const minLoadInterval = 100 * time.Millisecond

// addLoad attaches the load to a frame, at most once per minLoadInterval. The caller
// holds mu.
func (s *Server) addLoad(sess *session, f *wire.SidecarFrame) {
	if now := time.Now(); now.Sub(sess.loadSentAt) >= minLoadInterval {
		sess.loadSentAt = now
		f.Load = s.load()
	}
}

func (s *Server) sendWithLoad(sess *session, f *wire.SidecarFrame) {
	s.addLoad(sess, f)
	sess.send(f)
}

// load returns the server's present load. The caller holds mu.
func (s *Server) load() *wire.Load {
	return s.adm.load(time.Now())
}
