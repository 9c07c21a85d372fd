// Command load generates the load of chat callers on a running site and measures how much of the prompts the engines had
// cached, how unevenly the engines were loaded, the control traffic of the nodes, refused and lost requests and the time to
// the first byte.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

// options holds the values of the flags after parsing and validation.
type options struct {
	name                    string
	hosts, engines, metrics []string
	platform                string
	workspaces              []string
	model                   string
	requestRate             float64
	chats, turns, tokens    int
	openingBytes, turnBytes int
	loadFactor              float64
	seed                    uint64
	phases                  []Phase
	output                  string
}

func run(ctx context.Context, args []string) error {
	o, err := parse(args)
	if errors.Is(err, ff.ErrHelp) {
		return nil
	}
	if err != nil {
		return err
	}
	result := newGenerator(o).run(ctx)
	result.print()
	if o.output == "" {
		return nil
	}
	file, err := os.OpenFile(o.output, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	return json.NewEncoder(file).Encode(result)
}

func parse(args []string) (options, error) {
	var parsed options
	flags := ff.NewFlagSet("load")
	name := flags.StringLong("name", "run", "name of the run in the report")
	hosts := flags.StringLong("hosts", "", "caller addresses of the nodes, separated by commas")
	engines := flags.StringLong("engines", "", "addresses of the engines, to read their counters")
	metrics := flags.StringLong("metrics", "", "metrics addresses of the nodes")
	platform := flags.StringLong("platform", "", "address of the platform; engines that it does not list are left out of the load samples")
	workspaces := flags.StringLong("workspaces", "", "workspaces; the bearer key of NAME is key-NAME")
	model := flags.StringLong("model", "drum-assistant", "model that the requests name")
	rate := flags.Float64Long("rate", 50, "requests per second outside a surge")
	chats := flags.IntLong("chats", 60, "number of open chats of a workspace")
	turns := flags.IntLong("turns", 8, "number of turns of a chat")
	tokens := flags.IntLong("tokens", 20, "number of tokens of an answer")
	opening := flags.IntLong("opening-bytes", 3000, "size in bytes of a chat's first message")
	turn := flags.IntLong("turn-bytes", 300, "size in bytes of each later message of the caller")
	factor := flags.Float64Long("load-factor", 1.25, "load factor of the service's policy; samples with an engine above it are counted")
	seed := flags.Uint64Long("seed", 1, "seed of the random arrivals and chats")
	phases := flags.StringLong("phases", "steady:6s,surge:6s:2:20,churn:8s", "phases, each NAME:DURATION[:WORKSPACES:FACTOR], separated by commas")
	output := flags.StringLong("output", "", "file to which the result is appended as one line of JSON")
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintln(os.Stderr, ffhelp.Flags(flags))
		return parsed, err
	}
	parsed = options{
		name: *name, hosts: splitList(*hosts), engines: splitList(*engines), metrics: splitList(*metrics), workspaces: splitList(*workspaces), platform: *platform,
		model: *model, requestRate: *rate, chats: *chats, turns: *turns, tokens: *tokens, openingBytes: *opening, turnBytes: *turn,
		loadFactor: *factor, seed: *seed, output: *output,
	}
	if len(parsed.hosts) == 0 || len(parsed.workspaces) == 0 || len(parsed.metrics) == 0 {
		return parsed, errors.New("--hosts, --metrics and --workspaces must each have at least one value")
	}
	for text := range strings.SplitSeq(*phases, ",") {
		p, err := parsePhase(text)
		if err != nil {
			return parsed, err
		}
		parsed.phases = append(parsed.phases, p)
	}
	return parsed, nil
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// parsePhase parses NAME:DURATION, or NAME:DURATION:WORKSPACES:FACTOR for a phase with a surge.
func parsePhase(text string) (Phase, error) {
	parts := strings.Split(text, ":")
	const withoutSurge, withSurge = 2, 4
	if len(parts) != withoutSurge && len(parts) != withSurge {
		return Phase{}, fmt.Errorf("phase %q is not NAME:DURATION[:WORKSPACES:FACTOR]", text)
	}
	duration, err := time.ParseDuration(parts[1])
	if err != nil {
		return Phase{}, fmt.Errorf("phase %q: %w", text, err)
	}
	p := Phase{Name: parts[0], Duration: duration, SurgeFactor: 1}
	if len(parts) == withSurge {
		if _, err := fmt.Sscanf(parts[2]+" "+parts[3], "%d %g", &p.SurgingWorkspaces, &p.SurgeFactor); err != nil {
			return Phase{}, fmt.Errorf("phase %q: %w", text, err)
		}
	}
	return p, nil
}
