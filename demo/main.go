// Command demo runs a small site in one process: three nodes of the router fleet, and simulations of the platform, of engines
// and of a plain service. With --once it sends a few requests, checks the responses and exits.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/node"
	"balsamknot.org/balsamknot/settings"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/standin/site"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	flags := ff.NewFlagSet("demo")
	once := flags.BoolLong("once", "send two turns of a chat and one pickup confirmation twice, print how each was answered, and exit")
	set := flags.StringLong("set", "examples/retourvat/set.ini", "file with the set of objects to publish")
	verbose := flags.BoolLong("verbose", "print the nodes' logs")
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintln(os.Stderr, ffhelp.Flags(flags))
		if errors.Is(err, ff.ErrHelp) {
			return nil
		}
		return err
	}
	d, err := start(ctx, *set, *verbose)
	if err != nil {
		return err
	}
	defer d.stop()
	d.printAddresses()
	if *once {
		return d.runOnce(ctx)
	}
	<-ctx.Done()
	return nil
}

// demo is a running site with its nodes. done holds a channel for each node, in the order of nodes, which receives the result of
// its Run.
type demo struct {
	site    *site.Site
	running *site.Running
	nodes   []*node.Node
	cancel  context.CancelFunc
	done    []chan error
	timers  *timer.Scheduler
}

const (
	demoNodes    = 3
	demoEngines  = 4
	demoRunners  = 2
	readyTimeout = 10 * time.Second
	runnerDelay  = 20 * time.Millisecond
)

func start(ctx context.Context, setFile string, verbose bool) (*demo, error) {
	set, err := os.ReadFile(setFile)
	if err != nil {
		return nil, err
	}
	layout, err := site.New(site.Config{
		Hosts: demoNodes, Engines: demoEngines, Runners: demoRunners, EnginePool: "assistant", RunnerPool: "returns",
		Region: "be-central", DataCentres: []string{"antwerp", "gent", "liege"},
		ExtraSettings: "DrainGrace = 0s\nClockSkew = 100ms",
	})
	if err != nil {
		return nil, err
	}
	running, err := layout.Start(site.DefaultEngineConfig(), runnerDelay, set)
	if err != nil {
		return nil, err
	}
	nodeContext, cancel := context.WithCancel(ctx)
	d := &demo{site: layout, running: running, cancel: cancel, timers: timer.New()}
	log := zerolog.Nop()
	if verbose {
		log = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	for i := range layout.Hosts {
		if err := d.startNode(nodeContext, i, log); err != nil {
			d.stop()
			return nil, err
		}
	}
	return d, d.awaitReady()
}

func (d *demo) startNode(ctx context.Context, i int, log zerolog.Logger) error {
	parsed, err := settings.Parse(d.site.Hosts[i].ID, []byte(d.site.NodeSettings(i)))
	if err != nil {
		return err
	}
	n, err := node.New(node.Config{Settings: parsed, Log: log, Timers: d.timers})
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	d.nodes = append(d.nodes, n)
	d.done = append(d.done, done)
	return nil
}

func (d *demo) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range d.nodes {
		for !n.Ready() {
			if time.Now().After(deadline) {
				return errors.New("nodes did not become ready before the time-out")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func (d *demo) stop() {
	d.cancel()
	for _, done := range d.done {
		if err := <-done; err != nil {
			fmt.Fprintln(os.Stderr, "demo: node:", err)
		}
	}
	d.timers.Stop()
	d.running.Close()
}

func (d *demo) printAddresses() {
	fmt.Println("platform ", d.site.PlatformAddress)
	for _, h := range d.site.Hosts {
		fmt.Printf("%s    callers http://%s  operators http://%s  metrics http://%s/metrics\n", h.ID, h.CallerAddress, h.OperatorAddress, h.MetricsAddress)
	}
	fmt.Printf("\ncurl -N http://%s/v1/chat/completions -H 'Authorization: Bearer key-gent-depot' \\\n"+
		"  -d '{\"model\":\"drum-assistant\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Draft a return dossier\"}]}'\n\n",
		d.site.Hosts[0].CallerAddress)
}
