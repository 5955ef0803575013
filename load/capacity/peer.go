package capacity

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/hibiscusspur/hibiscusspur/entry"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// linkPeers links n idle entries to the sidecar at addr, and blocks until ctx is done.
// Each maintains its link as an entry does, and reconnects when it breaks.
func linkPeers(ctx context.Context, addr string, n int, segs *segments) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = linkPeer(ctx, addr, i, segs)
			}
		})
	}
	wg.Wait()
}

func linkPeer(ctx context.Context, addr string, i int, segs *segments) error {
	set := entry.DefaultSettings()
	var m link.Meter
	conn, err := link.Dial(ctx, addr, nil, set.Timing.Dial*10, &m)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if c, ok := conn.Transport().(net.Conn); ok {
		segs.add(c)
	}
	stream, err := wire.NewDRPCSidecarClient(conn).Session(ctx)
	if err != nil {
		return err
	}
	return serveIdle(ctx, conn, stream, set, fmt.Sprintf("entry-%03d", i))
}

func serveIdle(ctx context.Context, conn *drpcconn.Conn, stream wire.DRPCSidecar_SessionClient, set entry.Settings, id string) error {
	l := link.New(stream, link.Options[wire.EntryFrame]{
		HeartbeatInterval: set.Timing.Heartbeat, IdleHeartbeatInterval: set.Timing.IdleHeartbeat, SilenceLimit: set.Timing.Silence,
		QueueLimit: set.Bounds.LinkQueue,
		Active:     func() bool { return false },
		MakeHeartbeat: func(interval time.Duration) *wire.EntryFrame {
			return &wire.EntryFrame{Body: &wire.EntryFrame_Beat{Beat: &wire.EntryBeat{IntervalMs: uint32(interval.Milliseconds())}}}
		},
		Transport: conn.Transport(),
	})
	_ = l.Send(&wire.EntryFrame{Body: &wire.EntryFrame_Hello{Hello: &wire.Hello{
		Protocol: wire.Protocol, EntryId: id, Incarnation: rand.Text(), Zone: "zone-a",
	}}})
	return l.Run(ctx, func(f *wire.SidecarFrame) {
		l.ReceiveHeartbeat(time.Duration(f.GetBeat().GetIntervalMs()) * time.Millisecond)
	})
}
