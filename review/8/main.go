// Command 8 sends requests whose path has an escaped slash and a character that clients such as browsers and curl send as it
// is. One route takes all paths below a prefix, another the paths below a longer one.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/hibiscusspur/hibiscusspur/review/stand2"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

const (
	requests = 40
	// The path begins with the prefix of the first route alone.
	shortPrefix, longPrefix = "/cufi504/", "/cufi504/2026/"
	path                    = "/cufi504/2026%2F117"
	unescaped               = "|a"
	// archive is the service of the longer prefix.
	archive = "archive"
	idle    = 300 * time.Millisecond
)

func main() { stand2.Main(os.Args[1], run) }

func run(p *stand2.Platform) (int, error) {
	for _, service := range []string{stand2.Portal, archive} {
		if err := p.AddPlain(service, 3, 15*time.Millisecond); err != nil {
			return 0, err
		}
	}
	m := stand2.Manifest(7,
		stand2.Route("r-all", shortPrefix, "unsafe", stand2.Portal, 2, false, 1500, 100),
		stand2.Route("r-year", longPrefix, "unsafe", archive, 2, false, 1500, 100))
	m["services"] = append(m["services"].([]any), map[string]any{"name": archive, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false})
	if err := p.PutManifest(m); err != nil {
		return 0, err
	}
	if err := p.AddGateways(2, nil); err != nil {
		return 0, err
	}
	target := path
	if stand2.Trouble() {
		target += unescaped
	}
	for i := range requests {
		id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+i)
		text := "POST " + target + " HTTP/1.1\r\nHost: " + stand2.Host + "\r\n" + site.RequestID + ": " + id + "\r\n" + site.Deadline + ": 1500\r\nContent-Length: 0\r\n\r\n"
		answers, err := stand2.Raw(p.Gateways[i%len(p.Gateways)].Front, text, idle)
		if err != nil {
			return 0, err
		}
		for _, a := range answers {
			p.Note("client request=%s target=%s status=%d body=%q", id, target, a.Status, a.Body)
		}
	}
	breaks, ran := 0, p.Runs()
	for _, r := range ran {
		if r.Target != target {
			breaks++
			p.Note("UNASKED request=%s was sent with target=%s and run by server=%s with target=%s", r.Request, target, r.Server, r.Target)
		}
		if r.Service != stand2.Portal {
			breaks++
			p.Note("ROUTE request=%s with target=%s was run by service=%s", r.Request, target, r.Service)
		}
	}
	if len(ran) == 0 {
		return 0, fmt.Errorf("no request was run")
	}
	return breaks, nil
}
