package main

import (
	"net/http"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/standin/server"
)

func newLogger(program, id string) *log.Logger {
	logger := event.New(program, id, log.InfoLevel)
	httpserver.RouteLogs(logger)
	return logger
}

// listener is a handler and the address on which it is served.
type listener struct {
	addr    string
	handler http.Handler
}

// serve serves all listeners until SIGINT or SIGTERM, then closes every connection.
func serve(cmd *cobra.Command, logger *log.Logger, listeners ...listener) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, l := range listeners {
		srv, err := server.Start(l.addr, l.handler)
		if err != nil {
			return err
		}
		defer srv.Close()
		event.Started.Log(logger).Str("listen", l.addr).Msg("")
	}
	<-ctx.Done()
	event.Stopped.Emit(logger)
	return nil
}
