// Package security provides the mutual TLS configuration of the links between
// hibiscusspur's own processes, read from PEM files.
package security

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"github.com/ansel1/merry/v2"
)

// Settings names the PEM files of one process. If all are empty, links use plain TCP,
// which is meant for a closed test network only.
type Settings struct {
	// Certificate and Key identify this process.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Authority signs the certificates of peers.
	Authority string `yaml:"authority"`
	// PeerNames are the DNS names accepted in a peer's certificate.
	PeerNames []string `yaml:"peer_names"`
}

// Errors for which a peer is rejected.
var (
	// ErrPeerName means that a peer's certificate carries no accepted name.
	ErrPeerName = merry.Sentinel("peer certificate carries no accepted name")
	// ErrNoCertificate means that a peer sent no certificate.
	ErrNoCertificate = merry.Sentinel("peer sent no certificate")
)

// Enabled reports whether any file is named.
func (s Settings) Enabled() bool {
	return s.Certificate != "" || s.Key != "" || s.Authority != ""
}

// Check calls fail for each missing setting. prefix is the path of s in the document.
func (s Settings) Check(prefix string, fail func(field, format string, args ...any)) {
	if !s.Enabled() {
		return
	}
	need := []struct{ field, value string }{
		{"certificate", s.Certificate}, {"key", s.Key}, {"authority", s.Authority},
	}
	for _, n := range need {
		if n.value == "" {
			fail(prefix+"."+n.field, "is required when any other of the TLS files is set")
		}
	}
	if len(s.PeerNames) == 0 {
		fail(prefix+".peer_names", "must name at least one peer")
	}
}

// Config returns the configuration for both sides of a link, or nil if TLS is
// off. The files are read again when they change, so that certificates can be
// rotated without a restart; open connections keep the old ones.
func (s Settings) Config() (*tls.Config, error) {
	if !s.Enabled() {
		return nil, nil
	}
	f, err := openFiles(s)
	if err != nil {
		return nil, err
	}
	v := verifier{pool: f.currentAuthority, names: slices.Clone(s.PeerNames)}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return f.currentCertificate(), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return f.currentCertificate(), nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		// verifier checks the peer on both sides: the chain up to the authority, and the
		// accepted names instead of the dialled IP address.
		InsecureSkipVerify: true,
		VerifyConnection:   v.verify,
	}, nil
}

type verifier struct {
	pool  func() *x509.CertPool
	names []string
}

// verify checks the peer's certificate chain up to the authority, and its name.
func (v verifier) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	leaf := state.PeerCertificates[0]
	inter := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		inter.AddCert(c)
	}
	opts := x509.VerifyOptions{
		Roots:         v.pool(),
		Intermediates: inter,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	if _, err := leaf.Verify(opts); err != nil {
		return err
	}
	for _, name := range leaf.DNSNames {
		if slices.Contains(v.names, name) {
			return nil
		}
	}
	return ErrPeerName
}
