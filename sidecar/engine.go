package sidecar

import (
	"context"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

// infoRetryInterval is the interval between requests to an engine that is not up yet.
const infoRetryInterval = 100 * time.Millisecond

// waitForInfo requests the engine's properties until it answers or ctx ends.
func waitForInfo(ctx context.Context, eng engine.Engine) (engine.Info, error) {
	t := time.NewTicker(infoRetryInterval)
	defer t.Stop()
	for {
		info, err := eng.Info(ctx)
		if err == nil {
			return info, nil
		}
		select {
		case <-ctx.Done():
			return info, err
		case <-t.C:
		}
	}
}
