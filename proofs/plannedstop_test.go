package proofs

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// stopClient sends one request after the other on connections that it keeps until they are closed, and notes which of them had a
// whole answer.
type stopClient struct {
	cluster *gatewayCluster
	random  *rand.Rand
	http    *http.Client
	name    string
	// tokens are the size of each stream.
	tokens string
	// cut are requests without a whole answer, answered the number of others, refused those that were told to come back.
	cut               []string
	answered, refused int
}

// Kinds of requests around a planned stop, how long servers work on plain ones, and how long clients wait.
var (
	stopKinds     = []string{"safe", "unsafe", "draft", "resume"}
	stopWorkMs    = []int{50, 500, 1500, 3000, 5000}
	stopPatiences = []int{800, 3000, 7000}
)

// streamPatience is how long clients wait for a stream, in milliseconds; each takes three seconds.
const streamPatience = 7000

// reconnectPause is how long a client waits before it connects again.
const reconnectPause = 50 * time.Millisecond

// run sends requests until none arrives any more.
func (s *stopClient) run(stopped func() bool) {
	for n := 0; !stopped(); n++ {
		id := fmt.Sprintf("%s-%d", s.name, n)
		if err := s.send(id); err != nil {
			s.cut = append(s.cut, id)
			time.Sleep(reconnectPause)
		}
	}
}

func (s *stopClient) send(id string) error {
	kind := stopKinds[s.random.IntN(len(stopKinds))]
	r, err := http.NewRequest(http.MethodPost, "http://"+s.cluster.gateways[0].callers+"/"+kind+"/"+id, strings.NewReader(id))
	if err != nil {
		return err
	}
	r.Host = routeHost
	r.Header.Set(site.RequestID, id)
	r.Header.Set(site.WorkTime, strconv.Itoa(stopWorkMs[s.random.IntN(len(stopWorkMs))]))
	r.Header.Set(site.Deadline, strconv.Itoa(stopPatiences[s.random.IntN(len(stopPatiences))]))
	r.Header.Set(site.Credentials, "Token "+s.cluster.keys.use())
	if kind == "draft" || kind == "resume" {
		r.Header.Set(site.Tokens, s.tokens)
		r.Header.Set(site.Deadline, strconv.Itoa(streamPatience))
	}
	res, err := s.http.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if s.answered++; res.StatusCode == http.StatusServiceUnavailable {
		s.refused++
	}
	return nil
}

// TestPlannedStopCutsNoRequest guards against requests, streams and others, that a gateway accepts late in its grace, passes on and cuts at the
// end of it. Nothing is faulty.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	for name, tokens := range map[string]string{"engines with room": "1000,50", "streams that wait for memory": "250000,50"} {
		t.Run(name, func(t *testing.T) { playPlannedStop(t, tokens) })
	}
}

func playPlannedStop(t *testing.T, tokens string) {
	const (
		clients = 60
		grace   = 8 * time.Second
		calm    = 2 * time.Second
	)
	c := prepareGatewayCluster(t, 1)
	c.gateways[0].settings["bounds"].(map[string]any)["grace_s"] = int(grace.Seconds())
	c.startGateways()
	for _, s := range c.all() {
		switch s.stage {
		case registry.Whole:
			s.Behave(site.SlowAnswer)
		case registry.Decode:
			s.Behave(site.SlowStream)
		}
	}
	var done sync.WaitGroup
	all := make([]*stopClient, clients)
	for i := range all {
		all[i] = &stopClient{
			cluster: c, tokens: tokens, name: fmt.Sprint("stop-", i), random: rand.New(rand.NewPCG(uint64(i), 74)),
			http: &http.Client{Transport: &http.Transport{}},
		}
		done.Go(func() { all[i].run(c.gateways[0].proc.exited) })
	}
	time.Sleep(calm)
	began := time.Now()
	c.gateways[0].proc.terminate()
	eventually(t, grace+2*time.Second, "the gateway has exited", c.gateways[0].proc.exited)
	took := time.Since(began)
	done.Wait()
	passedOn := map[string]bool{}
	for _, call := range c.log.Calls() {
		passedOn[call.ID] = true
	}
	answered, refused, unread := 0, 0, 0
	for _, s := range all {
		answered, refused = answered+s.answered, refused+s.refused
		for _, id := range s.cut {
			if passedOn[id] {
				t.Errorf("assertion failed: %s was passed on and has no answer", id)
			} else {
				unread++
			}
		}
	}
	t.Logf("%d answered, %d of them refused, %d not read, %d passed on; exited after %v", answered, refused, unread, len(passedOn), took)
	assert.Check(t, answered > clients && refused > 0)
	assert.Check(t, took <= grace, "exited after %v", took)
}
