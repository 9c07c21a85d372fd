// Command standin serves what stands around a fleet: the platform's documents, model engines and plain services.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"balsamknot.org/standin/site"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// options are the flags of the program.
type options struct {
	hosts, engines, runners, basePort *int
	enginePool, runnerPool            *string
	region, dataCentres               *string
	set, settings, node               *string
	runnerDelay, tokenTime            *time.Duration
	seats                             *int
}

func run(ctx context.Context, args []string) error {
	flags := ff.NewFlagSet("standin")
	o := options{
		hosts:       flags.IntLong("hosts", 8, "entry hosts in the list"),
		engines:     flags.IntLong("engines", 10, "model engines to serve"),
		runners:     flags.IntLong("runners", 4, "runners of the plain service to serve"),
		basePort:    flags.IntLong("base-port", 17000, "first port on 127.0.0.1"),
		enginePool:  flags.StringLong("engine-pool", "assistant", "pool of the engines"),
		runnerPool:  flags.StringLong("runner-pool", "returns", "pool of the runners"),
		region:      flags.StringLong("region", "be-central", "region of all"),
		dataCentres: flags.StringLong("data-centres", "antwerp,gent,liege,charleroi", "data centres, separated by commas"),
		set:         flags.StringLong("set", "examples/retourvat/set.ini", "set to publish at start"),
		settings:    flags.StringLong("settings", "", "line to add to each node's settings, such as Routing = Random"),
		node:        flags.StringLong("print-settings", "", "print the settings of this host and exit"),
		runnerDelay: flags.DurationLong("runner-delay", 20*time.Millisecond, "time an action takes"),
		tokenTime:   flags.DurationLong("token-time", 10*time.Millisecond, "time between tokens"),
		seats:       flags.IntLong("seats", 16, "requests that an engine runs at once"),
	}
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintln(os.Stderr, ffhelp.Flags(flags))
		if errors.Is(err, ff.ErrHelp) {
			return nil
		}
		return err
	}
	s, err := site.New(site.Config{
		Hosts: *o.hosts, Engines: *o.engines, Runners: *o.runners, EnginePool: *o.enginePool, RunnerPool: *o.runnerPool,
		Region: *o.region, DataCentres: strings.Split(*o.dataCentres, ","), BasePort: *o.basePort, Settings: *o.settings,
	})
	if err != nil {
		return err
	}
	if *o.node != "" {
		return printSettings(s, *o.node)
	}
	return serve(ctx, s, o)
}

func printSettings(s *site.Site, id string) error {
	for i, h := range s.Hosts {
		if h.ID == id {
			_, err := fmt.Print(s.NodeSettings(i))
			return err
		}
	}
	return fmt.Errorf("no host %s", id)
}

func serve(ctx context.Context, s *site.Site, o options) error {
	set, err := os.ReadFile(*o.set)
	if err != nil {
		return err
	}
	defaults := site.EngineDefaults()
	defaults.TokenTime, defaults.Seats = *o.tokenTime, *o.seats
	running, err := s.Start(defaults, *o.runnerDelay, set)
	if err != nil {
		return err
	}
	defer running.Close()
	fmt.Println("platform", s.Platform)
	for _, h := range s.Hosts {
		fmt.Println(h.ID, "callers", h.Caller, "operators", h.Operator, "metrics", h.Metrics)
	}
	for _, e := range append(append([]site.Endpoint(nil), s.Engines...), s.Runners...) {
		fmt.Println(e.ID, e.Address)
	}
	<-ctx.Done()
	return nil
}
