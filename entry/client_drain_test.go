package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hibiscusspur/hibiscusspur/internal/pathtest"
)

// An entry that shuts down while callers continue to send requests over open connections completes every
// answer in progress, and does not wait for a moment without requests.
func TestDrainUnderLoad(t *testing.T) {
	p := pathtest.Start(t, pathtest.Options{})
	const callers = 8
	var complete, incomplete atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		// Answers of different lengths do not all end at once.
		body := fmt.Sprintf(`{"model":"lookup","prompt":"[[len=%d]]","max_tokens":200,"stream":true}`, 30+7*i)
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				req, _ := http.NewRequest(http.MethodPost, p.URL+"/v1/completions", strings.NewReader(body))
				req.Header.Set("Authorization", "Bearer "+pathtest.Key)
				res, err := client.Do(req)
				if err != nil {
					return // the entry no longer accepts connections
				}
				body, err := io.ReadAll(res.Body)
				_ = res.Body.Close()
				if err == nil && strings.HasSuffix(string(body), "data: [DONE]\n\n") {
					complete.Add(1)
				} else {
					incomplete.Add(1)
				}
			}
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if complete.Load() < 2*callers {
			return poll.Continue("%d answers", complete.Load())
		}
		return poll.Success()
	}, poll.WithTimeout(bound))
	assert.NilError(t, p.DrainEntry())
	wg.Wait()
	assert.Equal(t, incomplete.Load(), int64(0))
}
