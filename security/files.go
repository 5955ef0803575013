package security

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// files holds the certificate, key and authority of one process as last read from its
// PEM files. While the files can't be read completely, such as in the middle of a
// rotation, the previous contents stay in use. It is safe for concurrent use.
type files struct {
	settings Settings

	mu         sync.Mutex
	lastStamps [fileCount]fileStamp
	cert       *tls.Certificate
	roots      *x509.CertPool
}

const fileCount = 3

// fileStamp is the modification time and size of a file, which reveal a change.
type fileStamp struct {
	modified time.Time
	size     int64
}

func openFiles(s Settings) (*files, error) {
	f := &files{settings: s}
	return f, f.read(f.stamps())
}

func (f *files) currentCertificate() *tls.Certificate {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.cert
}

func (f *files) currentAuthority() *x509.CertPool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.roots
}

// refresh reads the files again if one has changed. The caller must hold mu.
func (f *files) refresh() {
	if now := f.stamps(); now != f.lastStamps {
		_ = f.read(now)
	}
}

func (f *files) stamps() (out [fileCount]fileStamp) {
	for i, name := range [fileCount]string{f.settings.Certificate, f.settings.Key, f.settings.Authority} {
		if info, err := os.Stat(name); err == nil {
			out[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return out
}

// read loads all files, which have the given stamps; on an error nothing changes.
func (f *files) read(at [fileCount]fileStamp) error {
	cert, err := tls.LoadX509KeyPair(f.settings.Certificate, f.settings.Key)
	if err != nil {
		return merry.Prepend(err, "load certificate and key")
	}
	pem, err := os.ReadFile(f.settings.Authority)
	if err != nil {
		return merry.Prepend(err, "read authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return merry.Errorf("no certificate in %s", f.settings.Authority)
	}
	f.cert, f.roots, f.lastStamps = &cert, roots, at
	return nil
}
