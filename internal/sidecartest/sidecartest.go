// Package sidecartest runs a sidecar without an engine on loopback, for tests of the communication between
// processes.
package sidecartest

import (
	"context"
	"crypto/rand"
	"net"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/sidecar"
)

// Start runs a sidecar until the test ends, and returns it and its address.
func Start(t testing.TB) (*sidecar.Server, string) {
	quiet := event.New("sidecar", "test", log.PanicLevel)
	s := sidecar.NewServer(sidecar.DefaultSettings(), nil, engine.Info{}, rand.Text(), quiet, metrics.NewSet())
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = link.Serve(ctx, lis, s, link.Limits{}) }()
	t.Cleanup(func() {
		cancel()
		s.Close()
	})
	return s, lis.Addr().String()
}

// UnusedAddr returns an address at which nothing listens.
func UnusedAddr(t testing.TB) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, lis.Close())
	return lis.Addr().String()
}
