package notify_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
)

func TestSendNeverBlocks(t *testing.T) {
	c := make(chan struct{}, 1)
	for range 3 {
		notify.Send(c)
	}
	<-c
	assert.Equal(t, len(c), 0, "several notifications wake the receiver once")
	notify.Send(c)
	assert.Equal(t, len(c), 1)
}
