package pathtest

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
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/security"
)

// Authority is a certificate authority for tests.
type Authority struct {
	t    testing.TB
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	file string
}

// NewAuthority returns a new authority with a self-signed certificate.
func NewAuthority(t testing.TB) *Authority {
	a := &Authority{t: t, key: newKey(t)}
	tmpl := template("authority", time.Now().Add(time.Hour))
	tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.file = filepath.Join(t.TempDir(), "authority.pem")
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

// Issue writes a certificate for name with the given validity, and returns the TLS settings of a process that
// uses it and accepts peers with certificates of this authority.
func (a *Authority) Issue(name string, validity time.Duration, peers ...string) security.Settings {
	dir := a.t.TempDir()
	s := security.Settings{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"),
		Authority: a.file, PeerNames: peers,
	}
	a.Renew(s, name, validity)
	return s
}

// Renew replaces the key and the certificate in the files of s.
func (a *Authority) Renew(s security.Settings, name string, validity time.Duration) {
	key := newKey(a.t)
	tmpl := template(name, time.Now().Add(validity))
	tmpl.DNSNames = []string{name}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	writePEM(a.t, s.Key, "EC PRIVATE KEY", keyDER)
	writePEM(a.t, s.Certificate, "CERTIFICATE", der)
}

func template(name string, until time.Time) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-2 * time.Hour),
		NotAfter:     until,
	}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func writePEM(t testing.TB, file, kind string, der []byte) {
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}
