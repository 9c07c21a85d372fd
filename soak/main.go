// Command soak is a randomised fault-injection test. It runs entry hosts as separate processes, injects faults into them, the
// links between them, the endpoints and the platform's store, and checks that callers and endpoints never observe a violation
// of the system's guarantees, which package checker lists.
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

	"balsamknot.org/soak/checker"
	"balsamknot.org/soak/schedule"
	"balsamknot.org/soak/site"
)

// Exit codes. exitViolations means that a run violated a guarantee, and exitUsage that the flags are wrong or that a run could
// not be carried out.
const (
	exitOK         = 0
	exitViolations = 1
	exitUsage      = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// options holds the values of the flags.
type options struct {
	seed                    uint64
	minutes                 float64
	length                  time.Duration
	hosts, callers, network int
	program, previous, dir  string
	// caseFile is the path of a case file with the faults to inject. If it is empty, they are generated from the seed.
	caseFile string
	timeless bool
}

func run(args []string) int {
	var opts options
	flags := ff.NewFlagSet("soak")
	flags.Uint64Var(&opts.seed, 0, "seed", 1, "first seed; each run takes the next one")
	flags.Float64Var(&opts.minutes, 0, "minutes", 0, "start new runs for this many minutes; 0 makes one run")
	flags.DurationVar(&opts.length, 0, "length", 20*time.Second, "period of a run in which its faults start and end")
	flags.IntVar(&opts.hosts, 0, "hosts", 5, "number of entry hosts")
	flags.IntVar(&opts.callers, 0, "callers", 40, "number of concurrent callers")
	flags.IntVar(&opts.network, 0, "network", 80, "second byte of the loopback addresses of the run")
	flags.StringVar(&opts.program, 0, "program", ".bin/entry", "path of the entry host's executable")
	flags.StringVar(&opts.previous, 0, "previous", "", "path of the executable of an earlier release, which half of the starts of hosts run; empty for none")
	flags.StringVar(&opts.dir, 0, "dir", "", "directory for the logs of runs with violations; empty for the system's temporary directory")
	flags.StringVar(&opts.caseFile, 0, "case", "", "replay the faults of this file, which a run with violations wrote, instead of those of a seed")
	flags.BoolVar(&opts.timeless, 0, "timeless", "check only guarantees without a time limit")
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintln(os.Stderr, ffhelp.Flags(flags))
		if errors.Is(err, ff.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(os.Stderr, "soak:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return opts.runAll(ctx)
}

// runAll makes one run after another, each with the next seed, until o.minutes have passed, and at least one run. It returns the
// exit code.
func (o options) runAll(ctx context.Context) int {
	end := time.Now().Add(time.Duration(o.minutes * float64(time.Minute)))
	code := exitOK
	for seed := o.seed; ctx.Err() == nil; seed++ {
		r, err := o.runOnce(ctx, seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "soak: seed %d: %s\n", seed, eris.ToString(err, false))
			return exitUsage
		}
		r.print(os.Stdout)
		if len(r.violations) > 0 {
			code = exitViolations
		}
		if time.Now().After(end) {
			break
		}
	}
	return code
}

// runResult is the result of one run. dir holds its logs if there are violations.
type runResult struct {
	seed         uint64
	faults       int
	counts       checker.Counts
	recoveryTime time.Duration
	violations   []checker.Violation
	dir          string
}

// runOnce starts a site, injects the faults of the seed or, if a case file is set, those of the file, and returns what the
// checker found. After violations it keeps the logs and writes a case file beside them.
func (o options) runOnce(ctx context.Context, seed uint64) (runResult, error) {
	c, err := o.loadOrGenerateCase(seed)
	if err != nil {
		return runResult{}, err
	}
	dir, err := os.MkdirTemp(o.dir, fmt.Sprintf("soak-%d-", c.Seed))
	if err != nil {
		return runResult{}, eris.Wrap(err, "create a directory for the logs")
	}
	s, err := site.Start(ctx, site.Config{
		Program: o.program, Previous: o.previous, Dir: dir, Hosts: c.Hosts, Network: o.network, Callers: c.Callers, Seed: c.Seed,
		Cold: schedule.HasCold(c.Faults) && o.previous == "",
	})
	if err != nil {
		return runResult{}, err
	}
	s.InjectFaults(ctx, c.Faults)
	r := runResult{seed: c.Seed, faults: len(c.Faults), dir: dir, recoveryTime: s.Recover(ctx)}
	s.Close()
	s.WithChecker(func(observed *checker.Checker) {
		r.counts, r.violations = observed.Counts(), observed.Violations(!o.timeless)
	})
	if len(r.violations) == 0 {
		return r, eris.Wrap(os.RemoveAll(dir), "remove the logs of a run without violations")
	}
	c.Cause = r.violations[0].String()
	return r, c.save(filepath.Join(dir, caseFileName))
}

// loadOrGenerateCase returns the parameters and faults of a run: those of the case file or, if none is set, those of the seed.
func (o options) loadOrGenerateCase(seed uint64) (testCase, error) {
	if o.caseFile != "" {
		return loadCase(o.caseFile)
	}
	return testCase{Seed: seed, Hosts: o.hosts, Callers: o.callers, Faults: schedule.Generate(schedule.Config{
		Seed: seed, Hosts: o.hosts, Endpoints: site.Endpoints(), Length: o.length,
	})}, nil
}

// maxPrintedViolations is the largest number of violations that are printed for a run.
const maxPrintedViolations = 10

func (r runResult) print(w *os.File) {
	_, _ = fmt.Fprintf(w, "seed %d: %d faults, %+v, recovered in %.1f s, %d violations\n",
		r.seed, r.faults, r.counts, r.recoveryTime.Seconds(), len(r.violations))
	for _, v := range r.violations[:min(len(r.violations), maxPrintedViolations)] {
		_, _ = fmt.Fprintf(w, "  %s\n", v)
	}
	if len(r.violations) > 0 {
		_, _ = fmt.Fprintf(w, "  logs in %s\n", r.dir)
	}
}
