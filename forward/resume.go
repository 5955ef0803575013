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
	if r.resumes() {
		f.Metrics.Counter(metrics.StreamsResumed).Inc(1)
		var ok bool
		if r.version, ok = f.Streams.Version(ctx, r.ref()); !ok {
			f.refuse(j, outcome.VersionUnknown, min(unknownStreamRetry, j.left(time.Now())/3))
			return
		}
	}
	r.finish(lifecycle.Run(ctx, r))
	f.freeExport(j, r.takeSpareExport())
}

// unknownStreamRetry is the Retry-After for a stream that no router in reach knows: a client that comes back is sent to
// another router, which may know it.
const unknownStreamRetry = 300 * time.Millisecond

// resumes reports whether the client resumes a stream of which it has received events.
func (r *stream) resumes() bool { return r.j.meta.LastEventID != "" }

// ref names the stream for other requests that resume it. One that resumes a stream without naming it has an empty ID.
func (r *stream) ref() StreamRef {
	j := r.j
	ref := StreamRef{Service: j.service, Customer: j.customer(), ID: j.meta.ID}
	if r.resumes() {
		ref.ID = j.meta.Resumes
	}
	return ref
}

// resumeMargin is how long after a client's timeout its stream is still known: its last attempt may arrive late.
const resumeMargin = 2 * time.Second

// begun binds the stream to the version of the engine whose event the client was sent first.
func (r *stream) begun(version string) {
	j, ref := r.j, r.ref()
	if r.version == "" {
		r.version = version
	}
	if !j.route.Resumable || ref.ID == "" || r.version == "" {
		return
	}
	timeout := max(j.meta.ClientTimeout, j.route.Timeout)
	r.f.Streams.Begun(ref, r.version, j.arrived.Add(timeout+resumeMargin))
}
