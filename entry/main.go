// Command entry runs an entry host, which forwards callers' requests to endpoints. The platform's store holds the configuration
// of the routes and the registrations of the endpoints.
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
	"balsamknot.org/fleet/drain"
	"balsamknot.org/fleet/logwriter"
	"balsamknot.org/fleet/timer"
)

// Exit codes. exitWarnings is that of check-set for a set that has warnings, but no errors.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitWarnings = 3
)

// gcPercent is the heap growth, in percent, at which the garbage collector runs. It is half of Go's default because memory is
// scarcer than CPU time on entry hosts.
const gcPercent = 50

// Limits of the log output: the rate in bytes per second, the burst and the buffer in bytes, and the time between writes. See
// logwriter.Config.
const (
	logRate       = 64 << 10
	logBurst      = 256 << 10
	logBufferSize = 256 << 10
	logInterval   = 100 * time.Millisecond
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) > 0 && args[0] == checkSetName {
		return checkSet(args[1:], os.Stdout, os.Stderr)
	}
	// This must come first: SIGHUP terminates a process that has no handler for it, so an early reload signal would stop the host.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	flags := ff.NewFlagSet("entry")
	path := flags.StringLong("settings", "", "settings file of this host (INI)")
	level := flags.StringEnumLong("log-level", "lowest level of log lines to write", "info", "debug", "warn", "error")
	check := flags.BoolLong("check", "check the settings and exit")
	version := flags.BoolLong("version", "print the release and exit")
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintln(os.Stderr, ffhelp.Flags(flags))
		fmt.Fprintln(os.Stderr, "Another command: entry "+checkSetName+" --help")
		if errors.Is(err, ff.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitUsage
	}
	if *version {
		fmt.Println(release())
		return exitOK
	}
	cfg, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitUsage
	}
	if *check {
		return exitOK
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(cfg.Memory()) / 4 * 3)
	if err := serve(*path, *level, cfg, reloads); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitFailed
	}
	return exitOK
}

func serve(path, level string, cfg settings.Host, reloads <-chan os.Signal) error {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return eris.Wrap(err, "parse log level")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	timers := timer.New()
	logWriter := logwriter.New(logwriter.Config{
		Out: os.Stdout, Rate: logRate, Burst: logBurst, BufferSize: logBufferSize, FlushInterval: logInterval, Now: timer.BootClock,
	})
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(logWriter).Level(minLevel).With().Timestamp().Str("Host", string(cfg.Host)).Logger()
	n := node.New(node.Config{Settings: cfg, Log: log, Timers: timers, Release: release(), FinalSteps: []drain.Step{
		{Name: "timers", Limit: timersLimit, Run: timers.Stop},
		{Name: "log", Limit: logCloseLimit, Run: logWriter.Close},
	}})
	go func() {
		for range reloads {
			n.Reload(settings.Load(path))
		}
	}()
	timers.Every(settingsPollInterval, func(time.Time, time.Duration) { n.ReloadIfChanged(settings.Load(path)) })
	if err := n.Run(ctx); err != nil {
		logWriter.Close()
		return err
	}
	return nil
}

// Time limits of the last steps of a stop: the end of periodic callbacks, one of which may read the settings file, and the last write of
// the log.
const (
	timersLimit   = 100 * time.Millisecond
	logCloseLimit = 200 * time.Millisecond
)

// settingsPollInterval is how often the settings file is read again, because it may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second
