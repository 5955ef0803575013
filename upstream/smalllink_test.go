package upstream_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/simnet"
	"github.com/hibiscusspur/hibiscusspur/upstream"
	"github.com/hibiscusspur/hibiscusspur/vmlink"
)

// TestSmallRequestPassesLongBodies guards against small requests that wait for the VM's link behind the bodies of long ones.
func TestSmallRequestPassesLongBodies(t *testing.T) {
	const (
		bytesPerSecond   = 1_250_000
		bodies           = 20
		bodyBytes        = 50_000
		smallObjective   = 120 * time.Millisecond
		serverAddr, addr = "10.0.0.1:1", "10.0.0.2:1"
	)
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New()
		lis, err := network.Host(serverAddr, 100*bytesPerSecond).Listen("")
		assert.NilError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
		})}
		go func() { _ = server.Serve(lis) }()

		pool := upstream.New(upstream.Options{Connect: network.Host(addr, bytesPerSecond).Connect, Link: vmlink.New(bytesPerSecond)})
		post := func(body []byte) time.Duration {
			began := time.Now()
			res, err := pool.Do(context.Background(), serverAddr, &upstream.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body})
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, res.Body)
			assert.NilError(t, err)
			return time.Since(began)
		}
		var long sync.WaitGroup
		for range bodies {
			long.Go(func() { post(make([]byte, bodyBytes)) })
		}
		for range 5 {
			time.Sleep(100 * time.Millisecond)
			took := post(make([]byte, 500))
			assert.Check(t, took <= smallObjective, "a small request took %v", took)
		}
		long.Wait()
		pool.Sweep(func(string) bool { return false })
		assert.NilError(t, server.Close())
		synctest.Wait()
	})
}
