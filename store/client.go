package store

import (
	"crypto/tls"
	"net/http"

	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// NewClient returns the HTTP client for the platform. With conf, which may be nil,
// connections use mutual TLS: the platform is verified against the authority and
// names in the settings, and this process presents its certificate.
func NewClient(conf *tls.Config) *http.Client {
	secure := &http.Transport{TLSClientConfig: conf, ForceAttemptHTTP2: true}
	return &http.Client{Transport: upstream.NewTransport(upstream.New(upstream.Options{}), secure)}
}
