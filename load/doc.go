// Package load is an open-loop load generator for the entries of a running system.
// It measures what callers receive: goodput against the latency objectives of each
// class, latencies, rejections by reason, and wrong answers. The whole load follows
// from a seed.
package load
