// Command soak runs entry hosts as separate processes, impairs them and everything around them, and checks while they run
// that callers and endpoints get what the system promises.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/rotisserie/eris"

	"balsamknot.org/soak/promise"
	"balsamknot.org/soak/schedule"
	"balsamknot.org/soak/site"
)

// Exit codes.
const (
	exitKept   = 0
	exitBroken = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// options are the flags of the program.
type options struct {
	seed                    uint64
	minutes                 float64
	length                  time.Duration
	hosts, callers, network int
	program, dir            string
	// replay is the file of a case; empty for the schedule of the seed.
	replay   string
	timeless bool
}

func run(args []string) int {
	var o options
	flags := ff.NewFlagSet("soak")
	flags.Uint64Var(&o.seed, 0, "seed", 1, "first seed; each run takes the next one")
	flags.Float64Var(&o.minutes, 0, "minutes", 0, "begin runs for so long; 0 makes one run")
	flags.DurationVar(&o.length, 0, "length", 20*time.Second, "time in which faults of one run begin and end")
	flags.IntVar(&o.hosts, 0, "hosts", 5, "entry hosts")
	flags.IntVar(&o.callers, 0, "callers", 40, "callers that ask at the same time")
	flags.IntVar(&o.network, 0, "network", 80, "second byte of the addresses on loopback that the run takes")
	flags.StringVar(&o.program, 0, "program", ".bin/entry", "the entry host's program")
	flags.StringVar(&o.dir, 0, "dir", "", "where logs of broken runs stay; empty for a temporary directory")
	flags.StringVar(&o.replay, 0, "case", "", "play the faults of this file, as a broken run left it, instead of a seed's")
	flags.BoolVar(&o.timeless, 0, "timeless", "check only promises without a time limit")
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintln(os.Stderr, ffhelp.Flags(flags))
		if errors.Is(err, ff.ErrHelp) {
			return exitKept
		}
		fmt.Fprintln(os.Stderr, "soak:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return o.runs(ctx)
}

// runs makes one run after the other, each with its own seed.
func (o options) runs(ctx context.Context) int {
	end := time.Now().Add(time.Duration(o.minutes * float64(time.Minute)))
	code := exitKept
	for seed := o.seed; ctx.Err() == nil; seed++ {
		r, err := o.once(ctx, seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "soak: seed %d: %s\n", seed, eris.ToString(err, false))
			return exitUsage
		}
		r.print(os.Stdout)
		if len(r.breaches) > 0 {
			code = exitBroken
		}
		if time.Now().After(end) {
			break
		}
	}
	return code
}

// result is what came of one run.
type result struct {
	seed      uint64
	faults    int
	counts    promise.Counts
	recovered time.Duration
	breaches  []promise.Violation
	dir       string
}

// once makes the run of a seed, or of a case.
func (o options) once(ctx context.Context, seed uint64) (result, error) {
	c, err := o.faults(seed)
	if err != nil {
		return result{}, err
	}
	dir, err := os.MkdirTemp(o.dir, fmt.Sprintf("soak-%d-", c.Seed))
	if err != nil {
		return result{}, eris.Wrap(err, "make a directory for logs")
	}
	s, err := site.Start(ctx, site.Config{
		Program: o.program, Dir: dir, Hosts: c.Hosts, Network: o.network, Callers: c.Callers, Seed: c.Seed,
	})
	if err != nil {
		return result{}, err
	}
	s.Play(ctx, c.Faults)
	r := result{seed: c.Seed, faults: len(c.Faults), dir: dir, recovered: s.Recover(ctx)}
	s.Close()
	s.Judged(func(j *promise.Checker) { r.counts, r.breaches = j.Counts(), j.Violations(!o.timeless) })
	if len(r.breaches) == 0 {
		return r, eris.Wrap(os.RemoveAll(dir), "remove the logs of a run without a breach")
	}
	c.Cause = r.breaches[0].String()
	return r, c.save(filepath.Join(dir, caseFile))
}

// faults returns what a run plays.
func (o options) faults(seed uint64) (regression, error) {
	if o.replay != "" {
		return loadCase(o.replay)
	}
	return regression{Seed: seed, Hosts: o.hosts, Callers: o.callers, Faults: schedule.New(schedule.Config{
		Seed: seed, Hosts: o.hosts, Endpoints: site.Endpoints(), Length: o.length,
	})}, nil
}

// mostPrinted bounds the breaches that are printed.
const mostPrinted = 10

func (r result) print(w *os.File) {
	_, _ = fmt.Fprintf(w, "seed %d: %d faults, %+v, recovered in %.1f s, %d breaches\n",
		r.seed, r.faults, r.counts, r.recovered.Seconds(), len(r.breaches))
	for _, b := range r.breaches[:min(len(r.breaches), mostPrinted)] {
		_, _ = fmt.Fprintf(w, "  %s\n", b)
	}
	if len(r.breaches) > 0 {
		_, _ = fmt.Fprintf(w, "  logs in %s\n", r.dir)
	}
}
