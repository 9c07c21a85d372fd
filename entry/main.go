// Command entry runs an entry host: it serves callers on the users' machines and reads what their platform publishes.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"balsamknot.org/entry/node"
	"balsamknot.org/entry/settings"
	"balsamknot.org/fleet/logwriter"
	"balsamknot.org/fleet/timer"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// collectAt is the growth of the heap, in percent, at which the collector runs: memory is dearer here than processor time.
const collectAt = 50

// The log's budget: bytes a second, what may be saved up of them, what may wait for a slow reader, and the time between writes.
const (
	logRate     = 64 << 10
	logBurst    = 256 << 10
	logPending  = 256 << 10
	logInterval = 100 * time.Millisecond
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	// Before anything else: until a process listens for it, SIGHUP ends it.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	flags := ff.NewFlagSet("entry")
	file := flags.StringLong("settings", "", "settings file of this host (INI)")
	level := flags.StringEnumLong("log-level", "least level of log lines", "info", "debug", "warn", "error")
	check := flags.BoolLong("check", "check the settings and exit")
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintln(os.Stderr, ffhelp.Flags(flags))
		if errors.Is(err, ff.ErrHelp) {
			return exitDone
		}
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitUsage
	}
	cfg, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitUsage
	}
	if *check {
		return exitDone
	}
	debug.SetGCPercent(collectAt)
	if err := serve(*file, *level, cfg, reloads); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitFailed
	}
	return exitDone
}

func serve(file, level string, cfg settings.Host, reloads <-chan os.Signal) error {
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		return eris.Wrap(err, "read the log level")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	timers := timer.New()
	defer timers.Stop()
	logWriter := logwriter.New(logwriter.Config{
		Out: os.Stdout, Rate: logRate, Burst: logBurst, BufferSize: logPending, FlushInterval: logInterval, Now: timer.BootClock,
	})
	defer logWriter.Close()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(logWriter).Level(least).With().Timestamp().Str("Host", string(cfg.Host)).Logger()
	n := node.New(node.Config{Settings: cfg, Log: log, Timers: timers})
	go func() {
		for range reloads {
			n.Reload(settings.Load(file))
		}
	}()
	defer timers.Every(settingsInterval, func(time.Time, time.Duration) { n.ReloadIfChanged(settings.Load(file)) })()
	return n.Run(ctx)
}

// settingsInterval is how often the settings file is looked at, since it may change without a signal.
const settingsInterval = 2 * time.Second
