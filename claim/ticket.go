package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// TicketPrefix is the prefix of every ticket; it distinguishes tickets from keys
// chosen by callers.
const TicketPrefix = "tkt_"

// MinSecretBytes is the minimum length of a secret that seals tickets.
const MinSecretBytes = 32

// ErrTicket means that a ticket is not authentic, has expired, or belongs to another
// customer.
var ErrTicket = merry.Sentinel("ticket not valid")

// Ticket identifies the sidecar, and its incarnation, whose Ledger decides whether a
// request with this ticket may run.
type Ticket struct {
	Backend     string    `json:"b"`
	Incarnation string    `json:"i"`
	Customer    string    `json:"c"`
	Nonce       string    `json:"n"`
	Expires     time.Time `json:"e"`
}

// Sealer authenticates tickets with HMAC-SHA256. All entries have the same secrets.
// The first one seals and any of them opens, so that secrets can be rotated.
type Sealer struct {
	secrets [][]byte
}

// NewSealer returns a sealer. Every secret must have at least MinSecretBytes.
func NewSealer(secrets ...[]byte) (*Sealer, error) {
	if len(secrets) == 0 {
		return nil, merry.New("no ticket secret")
	}
	for _, s := range secrets {
		if len(s) < MinSecretBytes {
			return nil, merry.Errorf("a ticket secret must have at least %d bytes", MinSecretBytes)
		}
	}
	return &Sealer{secrets: secrets}, nil
}

// Seal returns the authenticated text form of a ticket.
func (s *Sealer) Seal(t Ticket) (string, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return "", err
	}
	body := base64.RawURLEncoding.EncodeToString(data)
	return TicketPrefix + body + "." + mac(s.secrets[0], body), nil
}

// Open returns the ticket in text when it is authentic, belongs to the customer and
// has not expired.
func (s *Sealer) Open(text, customer string, now time.Time) (Ticket, error) {
	body, sum, ok := strings.Cut(strings.TrimPrefix(text, TicketPrefix), ".")
	if !ok || !s.authentic(body, sum) {
		return Ticket{}, ErrTicket
	}
	data, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return Ticket{}, ErrTicket
	}
	var t Ticket
	if err := json.Unmarshal(data, &t); err != nil {
		return Ticket{}, ErrTicket
	}
	if t.Customer != customer || now.After(t.Expires) {
		return Ticket{}, ErrTicket
	}
	return t, nil
}

func (s *Sealer) authentic(body, sum string) bool {
	for _, secret := range s.secrets {
		if hmac.Equal([]byte(sum), []byte(mac(secret, body))) {
			return true
		}
	}
	return false
}

func mac(secret []byte, body string) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}
