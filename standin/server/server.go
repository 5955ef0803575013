// Package server runs the HTTP server of the stand-ins and writes their replies.
package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusspur/hibiscusspur/httpserver"
)

const (
	// A stream or a blocked call occupies its handler's goroutine until it ends.
	maxInProgress = 16 << 10
	maxBody       = 64 << 20
	idleTimeout   = 10 * time.Minute
	pollers       = 1 // see awaitPoller
	startTimeout  = 10 * time.Second
	readyPath     = "/ready"
)

// Start listens on addr and serves h. Port 0 selects a free port.
func Start(addr string, h http.Handler) (*httpserver.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+readyPath, func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/", h)
	s, err := httpserver.Start(httpserver.Options{
		Name:          "standin",
		Addr:          addr,
		Handler:       mux,
		Pollers:       pollers,
		MaxInProgress: maxInProgress,
		MaxBody:       maxBody,
		IdleTimeout:   idleTimeout,
	})
	if err != nil {
		return nil, err
	}
	if err := awaitPoller(s.Addr()); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// awaitPoller makes a call to the server to ensure that its poller is running.
// The poller of nbio v1.6.8 clears its stop flag when its goroutine starts, so an
// earlier Close is lost and blocks forever. With one poller, an answer proves that
// it runs.
func awaitPoller(addr string) error {
	hc := &http.Client{Transport: &http.Transport{}, Timeout: startTimeout}
	defer hc.CloseIdleConnections()
	resp, err := hc.Get("http://" + addr + readyPath)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Reply writes v as JSON with the given status.
func Reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("can't encode reply: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
