package store

import (
	"crypto/tls"
	"net/http"
)

// NewClient returns the HTTP client for the platform. With conf, which may be nil,
// connections use mutual TLS: the platform is verified against the authority and
// names in the settings, and this process presents its certificate.
func NewClient(conf *tls.Config) *http.Client {
	return &http.Client{Transport: &http.Transport{TLSClientConfig: conf, ForceAttemptHTTP2: true}}
}
