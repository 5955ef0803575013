package load

// Join merges the reports of deployments that were under load at the same time.
func Join(parts []*Report) *Report {
	all := *parts[0]
	all.Seconds = make(map[string][]Second)
	all.Classes, all.Prefill, all.Internal, all.Wrong = nil, nil, nil, nil
	for _, p := range parts {
		all.Classes = append(all.Classes, p.Classes...)
		all.Prefill = append(all.Prefill, p.Prefill...)
		all.Internal = append(all.Internal, p.Internal...)
		all.Wrong = append(all.Wrong, p.Wrong...)
		all.Late = all.Late.maxOf(p.Late)
		for id, s := range p.Seconds {
			all.Seconds[id] = s
		}
	}
	return &all
}

func (q Quantiles) maxOf(o Quantiles) Quantiles {
	return Quantiles{P50: max(q.P50, o.P50), P95: max(q.P95, o.P95), P99: max(q.P99, o.P99), Max: max(q.Max, o.Max)}
}
