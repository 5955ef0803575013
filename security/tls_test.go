package security_test

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/pathtest"
	"github.com/hibiscusspur/hibiscusspur/security"
)

const bound = 10 * time.Second

// listen starts a server that echoes one byte to each accepted peer until the test ends.
func listen(t *testing.T, s security.Settings) string {
	t.Helper()
	conf, err := s.Config()
	assert.NilError(t, err)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := security.NewListener(plain, conf)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.CopyN(c, c, 1)
			}()
		}
	}()
	return l.Addr().String()
}

// exchange reports whether the server echoes a byte, and the serial number of its certificate.
func exchange(t *testing.T, addr string, conf *tls.Config) (serial string, ok bool) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(t, c.SetDeadline(time.Now().Add(bound)))
	if conf != nil {
		c = tls.Client(c, conf)
	}
	if _, err = c.Write([]byte("not a TLS record")); err != nil {
		return "", false
	}
	if _, err = io.ReadFull(c, make([]byte, 1)); err != nil {
		return "", false
	}
	if tc, isTLS := c.(*tls.Conn); isTLS {
		serial = tc.ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	return serial, true
}

func config(t *testing.T, s security.Settings) *tls.Config {
	t.Helper()
	conf, err := s.Config()
	assert.NilError(t, err)
	return conf
}

func TestMutualTLS(t *testing.T) {
	ours, other := pathtest.NewAuthority(t), pathtest.NewAuthority(t)
	addr := listen(t, ours.Issue("sidecar", time.Hour, "entry"))
	trusting := func(s security.Settings) security.Settings {
		s.Authority = ours.Issue("x", time.Hour, "sidecar").Authority
		return s
	}
	withoutCertificate := config(t, ours.Issue("entry", time.Hour, "sidecar"))
	withoutCertificate.GetClientCertificate = nil
	olderTLS := config(t, ours.Issue("entry", time.Hour, "sidecar"))
	olderTLS.MinVersion, olderTLS.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	for _, tc := range []struct {
		name string
		conf *tls.Config
		ok   bool
	}{
		{"right", config(t, ours.Issue("entry", time.Hour, "sidecar")), true},
		{"no certificate", withoutCertificate, false},
		{"certificate of another authority", config(t, trusting(other.Issue("entry", time.Hour, "sidecar"))), false},
		{"certificate of another name", config(t, ours.Issue("backend", time.Hour, "sidecar")), false},
		{"expired certificate", config(t, ours.Issue("entry", -time.Hour, "sidecar")), false},
		{"server of another name", config(t, ours.Issue("entry", time.Hour, "platform")), false},
		{"server of another authority", config(t, other.Issue("entry", time.Hour, "sidecar")), false},
		{"older TLS", olderTLS, false},
		{"plain TCP", nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, ok := exchange(t, addr, tc.conf)
			assert.Equal(t, ok, tc.ok)
		})
	}
	t.Run("TLS to a plain listener", func(t *testing.T) {
		_, ok := exchange(t, listen(t, security.Settings{}), config(t, ours.Issue("entry", time.Hour, "sidecar")))
		assert.Assert(t, !ok)
	})
}

// TestRotation checks that a certificate, key or authority that changes on disk is used
// from the next handshake on, and that a half-written file changes nothing.
func TestRotation(t *testing.T) {
	first, second := pathtest.NewAuthority(t), pathtest.NewAuthority(t)
	server := first.Issue("sidecar", time.Hour, "entry")
	addr := listen(t, server)
	client := first.Issue("entry", time.Hour, "sidecar")
	conf := config(t, client)
	before, ok := exchange(t, addr, conf)
	assert.Assert(t, ok)

	assert.NilError(t, os.WriteFile(server.Certificate, []byte("half"), 0o600))
	serial, ok := exchange(t, addr, conf)
	assert.Assert(t, ok)
	assert.Equal(t, serial, before)

	first.Renew(server, "sidecar", time.Hour)
	serial, ok = exchange(t, addr, conf)
	assert.Assert(t, ok)
	assert.Assert(t, serial != before)

	// Rotate the authority: trust both, issue new certificates, then trust the new one alone.
	both := append(read(t, client.Authority), read(t, second.Issue("x", time.Hour).Authority)...)
	assert.NilError(t, os.WriteFile(client.Authority, both, 0o600)) // the file that both sides read
	second.Renew(server, "sidecar", time.Hour)
	_, ok = exchange(t, addr, conf)
	assert.Assert(t, ok)
	second.Renew(client, "entry", time.Hour)
	_, ok = exchange(t, addr, conf)
	assert.Assert(t, ok)
	assert.NilError(t, os.WriteFile(client.Authority, read(t, second.Issue("x", time.Hour).Authority), 0o600))
	_, ok = exchange(t, addr, conf)
	assert.Assert(t, ok)
	_, ok = exchange(t, addr, config(t, first.Issue("entry", time.Hour, "sidecar")))
	assert.Assert(t, !ok, "the old authority is still trusted")
}

func read(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	return data
}

func TestFaultyFiles(t *testing.T) {
	good := pathtest.NewAuthority(t).Issue("entry", time.Hour, "sidecar")
	other := pathtest.NewAuthority(t).Issue("entry", time.Hour, "sidecar")
	for _, tc := range []struct {
		name   string
		change func(*security.Settings)
	}{
		{"missing certificate", func(s *security.Settings) { s.Certificate += ".none" }},
		{"key of another certificate", func(s *security.Settings) { s.Key = other.Key }},
		{"missing authority", func(s *security.Settings) { s.Authority += ".none" }},
		{"authority without certificate", func(s *security.Settings) { s.Authority = s.Key }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := good
			tc.change(&s)
			_, err := s.Config()
			assert.Assert(t, err != nil)
		})
	}
}
