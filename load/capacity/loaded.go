package capacity

import "context"

const (
	entryEngines = 8
	entryRate    = 20
	sidecarRate  = 10
)

// loadedEntry measures the cost to an entry of the requests and tokens that pass through
// it, and the frames of its links by their kind.
func (r *runner) loadedEntry(ctx context.Context) (Section, error) {
	s := Section{Title: "entry under load"}
	deployment, err := r.startLoadDeployment(ctx, entryEngines, false)
	if err != nil {
		return s, err
	}
	defer deployment.close()
	instance := deployment.lab.Entries[0]
	offer := func(p loadPoint) (loadCost, error) {
		deployment.farm.frames.takeCounts()
		before := deployment.platform.store.calls()
		o, err := r.offerLoad(ctx, p, instance.URL, func() (sample, error) {
			return takeSample(ctx, instance.PID(), instance.Admin, &deployment.farm.segs, deployment.platform.relay)
		})
		o.frames, o.calls = deployment.farm.frames.takeCounts(), [2]platformCalls{before, deployment.platform.store.calls()}
		return o, err
	}
	var last loadCost
	byRate, byTokens := r.loadPoints([]int{10, 20, 40, 80}, entryRate)
	err = s.measureSeries(byRate, byTokens, func(p loadPoint) (loadCost, error) {
		o, err := offer(p)
		last = o
		return o, err
	})
	if err != nil {
		return s, err
	}
	s.Frames = last.frames
	s.addFrames(last)
	once, err := offer(loadPoint{rate: entryRate, tokens: baseTokens, unrepeatable: true})
	if err != nil {
		return s, err
	}
	s.addClaims(once)
	return s, nil
}

// addFrames splits the bytes of the last load into payload, overhead of the frames that
// carry it, and all other frames.
func (s *Section) addFrames(o loadCost) {
	var payload, envelope, control, controlFrames float64
	for _, f := range o.frames {
		payload += float64(f.Payload)
		if f.Payload > 0 {
			envelope += float64(f.Bytes - f.Payload)
			continue
		}
		control += float64(f.Bytes)
		controlFrames += float64(f.Count)
	}
	s.figure("requests in the table of frames", "1", o.requests)
	s.figure("tokens in the table of frames", "1", o.tokens)
	s.figure("text of prompts and answers", "B/request", payload/o.requests)
	s.figure("rest of the frames that carry it", "B/request", envelope/o.requests)
	s.figure("other frames, control", "B/request", control/o.requests)
	s.figure("other frames, control", "frames/request", controlFrames/o.requests)
}

// addClaims adds the table calls that unrepeatable requests make in addition to the polls.
func (s *Section) addClaims(o loadCost) {
	before, after := o.calls[0], o.calls[1]
	s.figure("table writes of an unrepeatable request", "1", float64(after.table.Writes-before.table.Writes)/o.requests)
	s.figure("table reads of an unrepeatable request, polls included", "1", float64(after.table.Reads-before.table.Reads)/o.requests)
}

// loadedSidecar measures the cost to a sidecar of the requests and tokens of its engine.
func (r *runner) loadedSidecar(ctx context.Context) (Section, error) {
	s := Section{Title: "sidecar under load"}
	deployment, err := r.startLoadDeployment(ctx, 1, true)
	if err != nil {
		return s, err
	}
	defer deployment.close()
	instance := deployment.lab.Sidecars[0]
	byRate, byTokens := r.loadPoints([]int{5, 10, 20, 40}, sidecarRate)
	err = s.measureSeries(byRate, byTokens, func(p loadPoint) (loadCost, error) {
		return r.offerLoad(ctx, p, deployment.lab.Targets[0], func() (sample, error) {
			return takeSample(ctx, instance.PID(), instance.Admin, nil, nil)
		})
	})
	return s, err
}
