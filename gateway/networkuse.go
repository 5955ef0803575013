package gateway

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
)

// fullShare is the share of the link's rate from which the link counts as full: the rest is headers and acknowledgements.
const fullShare = 0.9

// networkUse logs when the VM's link is full. It belongs to one goroutine.
type networkUse struct {
	s *Service
	// sent and received are the counts at the time at.
	sent, received int64
	at             time.Time
	// fullSince is when the link became full; zero while it is not.
	fullSince time.Time
}

// record takes the use of the link since the call before.
func (u *networkUse) record(now time.Time) {
	link := u.s.link
	sent, received := link.BytesSent(), link.BytesReceived()
	elapsed := now.Sub(u.at).Seconds()
	sentRate, receivedRate := float64(sent-u.sent)/elapsed, float64(received-u.received)/elapsed
	u.sent, u.received, u.at = sent, received, now
	rate := link.BytesPerSecond()
	full := rate > 0 && max(sentRate, receivedRate) >= fullShare*rate
	if full != u.fullSince.IsZero() {
		return
	}
	if full {
		u.fullSince = now
		event.LinkFull.Log(u.s.log).Float64("sent", sentRate).Float64("received", receivedRate).Float64("rate", rate).Dur("wait", link.Wait()).Msg("")
		return
	}
	event.LinkFree.Log(u.s.log).Dur("after", now.Sub(u.fullSince)).Msg("")
	u.fullSince = time.Time{}
}
