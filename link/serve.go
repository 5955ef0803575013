package link

import (
	"context"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/hibiscusspur/hibiscusspur/wire"
)

// Serve accepts connections on lis and runs their sessions until ctx ends, and closes lis.
func Serve(ctx context.Context, lis net.Listener, s wire.DRPCSidecarServer) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterSidecar(mux, s); err != nil {
		return err
	}
	return ServeMux(ctx, lis, mux)
}

// ServeMux accepts connections on lis and serves the calls of mux until ctx ends, and closes lis.
func ServeMux(ctx context.Context, lis net.Listener, mux *drpcmux.Mux) error {
	return drpcserver.NewWithOptions(mux, serverOptions()).Serve(ctx, lis)
}
