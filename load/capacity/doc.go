// Package capacity measures the resource usage of one entry and one sidecar, as real
// processes on loopback, at several sizes each. Linear regression over the sizes gives the
// slopes from which docs/CAPACITY.md computes the figures for the planned size of the
// system.
package capacity
