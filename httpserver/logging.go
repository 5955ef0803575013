package httpserver

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio/logging"
	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/event"
)

// nbioLogger forwards nbio's warnings and errors to the process's log.
type nbioLogger struct{}

var (
	destination atomic.Pointer[log.Logger]
	routeOnce   sync.Once
)

// RouteLogs sends nbio's log lines to l, for all servers of the process. Debug and info messages are dropped. It is
// safe for concurrent use.
func RouteLogs(l *log.Logger) {
	destination.Store(l)
	routeOnce.Do(func() { logging.SetLogger(nbioLogger{}) })
}

// Debug implements logging.Logger.
func (nbioLogger) Debug(string, ...any) {}

// Info implements logging.Logger.
func (nbioLogger) Info(string, ...any) {}

// Warn implements logging.Logger.
func (nbioLogger) Warn(format string, v ...any) { logMessage(format, v) }

// Error implements logging.Logger.
func (nbioLogger) Error(format string, v ...any) { logMessage(format, v) }

func logMessage(format string, v []any) {
	event.Library.Log(destination.Load()).Str("library", "nbio").Str("message", fmt.Sprintf(format, v...)).Msg("")
}
