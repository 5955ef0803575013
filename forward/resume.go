package forward

import (
	"context"
	"time"

	"github.com/hibiscusspur/hibiscusspur/lifecycle"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// serveStream answers a request of a model service.
func (f *Forwarder) serveStream(ctx context.Context, j *job) {
	r := &stream{baseRequest: baseRequest{f: f, j: j}, lastEvent: j.meta.LastEventID}
	if j.resumes() && !r.bind(ctx) {
		return
	}
	r.finish(lifecycle.Run(ctx, r))
	f.freeExport(j, r.takeSpareExport())
}

// serveCall answers a request of a plain service.
func (f *Forwarder) serveCall(ctx context.Context, j *job) {
	c := &call{baseRequest{f: f, j: j}}
	if j.route.Resumable && j.resumes() && !c.bind(ctx) {
		return
	}
	c.finish(lifecycle.Run(ctx, c))
}

// resumes reports whether the client resumes a stream of which it has received events.
func (j *job) resumes() bool { return j.meta.LastEventID != "" }

// bind binds a stream that the client resumes to the version that began it. It returns false if the request has been
// rejected, since that version is not known.
func (b *baseRequest) bind(ctx context.Context) bool {
	b.f.Metrics.Counter(metrics.StreamsResumed).Inc(1)
	version, ok := b.f.Streams.Version(ctx, b.ref())
	if !ok {
		b.f.refuse(b.j, outcome.VersionUnknown, min(unknownStreamRetry, b.j.left(time.Now())/3))
	}
	b.version = version
	return ok
}

// unknownStreamRetry is the Retry-After for a stream that no router in reach knows: a client that comes back is sent to
// another router, which may know it.
const unknownStreamRetry = 300 * time.Millisecond

// ref names the stream for other requests that resume it. One that resumes a stream without naming it has an empty ID.
func (b *baseRequest) ref() StreamRef {
	j := b.j
	ref := StreamRef{Service: j.service, Customer: j.customer(), ID: j.meta.ID}
	if j.resumes() {
		ref.ID = j.meta.Resumes
	}
	return ref
}

// resumeMargin is how long after a client's timeout its stream is still known: its last attempt may arrive late.
const resumeMargin = 2 * time.Second

// begun binds the stream to the version of the server whose event the client is sent first.
func (b *baseRequest) begun(version string) {
	j, ref := b.j, b.ref()
	if b.version == "" {
		b.version = version
	}
	if !j.route.Resumable || ref.ID == "" || b.version == "" {
		return
	}
	timeout := max(j.meta.ClientTimeout, j.route.Timeout)
	b.f.Streams.Begun(ref, b.version, j.arrived.Add(timeout+resumeMargin))
}
