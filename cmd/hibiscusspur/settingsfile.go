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

// settingsCheck is the interval at which the settings file is looked at: the platform may
// change it without a signal.
const settingsCheck = time.Second

// followSettings calls reload when the settings file has changed or SIGHUP came, until ctx
// ends. Settings that can't be read leave the last ones in force.
func followSettings(ctx context.Context, l *log.Logger, path string, reload func(platform.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsCheck)
	defer t.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
			if modified(path) == last {
				continue
			}
		}
		last = modified(path)
		set, err := platform.LoadSettings(path)
		if err != nil {
			event.SettingsRefused.Log(l).Err(err).Msg("")
			continue
		}
		reload(set)
	}
}

// modified is when the file was last written; zero when that can't be told.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
