// Command standin simulates the surroundings of a fleet of hosts on 127.0.0.1: the platform that publishes the fleet's
// configuration, the engines that run models and the runners of a plain service. It prints their addresses and those that
// the hosts' nodes are to listen on; the nodes are started separately.
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

// options holds pointers to the values of the flags, which are set when the command line is parsed.
type options struct {
	hosts, engines, runners, basePort *int
	enginePool, runnerPool            *string
	region, dataCentres               *string
	set, settings, printSettingsOf    *string
	runnerDelay, tokenTime            *time.Duration
	slots                             *int
}

func run(ctx context.Context, args []string) error {
	flags := ff.NewFlagSet("standin")
	o := options{
		hosts:           flags.IntLong("hosts", 8, "number of hosts in the published list"),
		engines:         flags.IntLong("engines", 10, "number of model engines to serve"),
		runners:         flags.IntLong("runners", 4, "number of runners of the plain service to serve"),
		basePort:        flags.IntLong("base-port", 17000, "first port on 127.0.0.1"),
		enginePool:      flags.StringLong("engine-pool", "assistant", "engine pool to which the engines belong"),
		runnerPool:      flags.StringLong("runner-pool", "returns", "engine pool to which the runners belong"),
		region:          flags.StringLong("region", "be-central", "region of all hosts, engines and runners"),
		dataCentres:     flags.StringLong("data-centres", "antwerp,gent,liege,charleroi", "data centres, separated by commas"),
		set:             flags.StringLong("set", "examples/retourvat/set.ini", "file with the set of objects to publish at start"),
		settings:        flags.StringLong("settings", "", "line to append to each node's settings, such as Routing = Random"),
		printSettingsOf: flags.StringLong("print-settings", "", "print the settings of this host and exit"),
		runnerDelay:     flags.DurationLong("runner-delay", 20*time.Millisecond, "time that a runner takes to run an action"),
		tokenTime:       flags.DurationLong("token-time", 10*time.Millisecond, "time that an engine takes to generate a token"),
		slots:           flags.IntLong("seats", 16, "number of requests that an engine runs at once"),
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
		Region: *o.region, DataCentres: strings.Split(*o.dataCentres, ","), BasePort: *o.basePort, ExtraSettings: *o.settings,
	})
	if err != nil {
		return err
	}
	if *o.printSettingsOf != "" {
		return printSettings(s, *o.printSettingsOf)
	}
	return serve(ctx, s, o)
}

// printSettings prints the settings file for the node of a host.
func printSettings(s *site.Site, id string) error {
	for i, h := range s.Hosts {
		if h.ID == id {
			_, err := fmt.Print(s.NodeSettings(i))
			return err
		}
	}
	return fmt.Errorf("--print-settings: the site has no host %s", id)
}

// serve runs the simulated site until ctx is cancelled, by SIGINT or SIGTERM.
func serve(ctx context.Context, s *site.Site, o options) error {
	set, err := os.ReadFile(*o.set)
	if err != nil {
		return err
	}
	defaults := site.DefaultEngineConfig()
	defaults.TokenTime, defaults.Slots = *o.tokenTime, *o.slots
	running, err := s.Start(defaults, *o.runnerDelay, set)
	if err != nil {
		return err
	}
	defer running.Close()
	fmt.Println("platform", s.PlatformAddress)
	for _, h := range s.Hosts {
		fmt.Println(h.ID, "callers", h.CallerAddress, "operators", h.OperatorAddress, "metrics", h.MetricsAddress)
	}
	for _, e := range append(append([]site.Endpoint(nil), s.Engines...), s.Runners...) {
		fmt.Println(e.ID, e.Address)
	}
	<-ctx.Done()
	return nil
}
