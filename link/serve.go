package link

import (
	"context"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/hibiscusspur/hibiscusspur/wire"
)

// Serve accepts connections on lis within the limits and runs their sessions until ctx ends, and closes lis.
func Serve(ctx context.Context, lis net.Listener, s wire.DRPCSidecarServer, l Limits) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterSidecar(mux, s); err != nil {
		return err
	}
	return ServeMux(ctx, lis, mux, l)
}

// ServeMux accepts connections on lis within the limits and serves the calls of mux until ctx ends, and closes lis.
func ServeMux(ctx context.Context, lis net.Listener, mux *drpcmux.Mux, l Limits) error {
	return drpcserver.NewWithOptions(mux, serverOptions()).Serve(ctx, l.Listener(lis))
}
