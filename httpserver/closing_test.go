package httpserver

import (
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestConnectionCloseAffectsNoOthers: clients that send "Connection: close" with each request must not cause the
// connections of other clients to be closed.
func TestConnectionCloseAffectsNoOthers(t *testing.T) {
	const clients, requests = 8, 200
	s, err := Start(Options{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	hc := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	errs := make(chan error, clients*requests)
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for range requests {
				resp, err := hc.Post("http://"+s.Addr(), "text/plain", nil)
				if err == nil {
					err = resp.Body.Close()
				}
				errs <- err
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		assert.NilError(t, err)
	}
}
