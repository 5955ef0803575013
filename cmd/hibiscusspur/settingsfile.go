package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/platform"
)

// settingsPollInterval is the interval at which the settings file is checked for changes, which
// the platform may make without a signal.
const settingsPollInterval = time.Second

// watchSettings calls reload when the settings file has changed or on SIGHUP, until ctx
// ends. If the new settings are invalid, the previous ones stay in force.
func watchSettings(ctx context.Context, l *log.Logger, path string, reload func(platform.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	last := modifiedAt(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
			if modifiedAt(path) == last {
				continue
			}
		}
		last = modifiedAt(path)
		set, err := platform.LoadSettings(path)
		if err != nil {
			event.SettingsRefused.Log(l).Err(err).Msg("")
			continue
		}
		reload(set)
	}
}

// modifiedAt returns the modification time of a file, or zero if it can't be determined.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
