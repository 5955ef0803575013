package capacity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/hibiscusspur/hibiscusspur/security"
)

// peerName is the DNS name in the certificate that all processes present.
const peerName = "peer.hibiscusspur"

const certValidity = time.Hour

// newCerts writes a certificate authority and a certificate issued by it to dir, and
// returns TLS settings for both ends of a link.
func newCerts(dir string) (security.Settings, error) {
	s := security.Settings{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"),
		Authority: filepath.Join(dir, "authority.pem"), PeerNames: []string{peerName},
	}
	authority, authorityKey, err := newCert(certTemplate(1, true), nil, nil)
	if err != nil {
		return s, err
	}
	cert, key, err := newCert(certTemplate(2, false), authority, authorityKey)
	if err != nil {
		return s, err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return s, err
	}
	for _, f := range []struct {
		path, kind string
		data       []byte
	}{
		{s.Authority, "CERTIFICATE", authority.Raw},
		{s.Certificate, "CERTIFICATE", cert.Raw},
		{s.Key, "PRIVATE KEY", encoded},
	} {
		text := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.data})
		if err := os.WriteFile(f.path, text, 0o600); err != nil {
			return s, err
		}
	}
	return s, nil
}

func certTemplate(serial int64, authority bool) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: peerName}, DNSNames: []string{peerName},
		NotBefore: time.Now().Add(-certValidity), NotAfter: time.Now().Add(certValidity),
		IsCA: authority, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// newCert signs t with the parent's key, or self-signs it without a parent.
func newCert(t, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	if parent == nil {
		parent, parentKey = t, key
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, parentKey)
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, err
}
