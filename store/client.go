package store

import (
	"crypto/tls"
	"net/http"
)

// NewClient returns the HTTP client for the platform. With conf, which may be
// nil, an https platform is verified by the authority and names of the settings and
// is shown this process's certificate.
func NewClient(conf *tls.Config) *http.Client {
	return &http.Client{Transport: &http.Transport{TLSClientConfig: conf, ForceAttemptHTTP2: true}}
}
