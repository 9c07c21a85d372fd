// Command load plays callers that return after pauses, and measures what they met: reuse, skew, control bytes,
// refusals, losses and the time to the first byte.
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

// options are the checked flags.
type options struct {
	name                    string
	hosts, engines, metrics []string
	platform                string
	workspaces              []string
	model                   string
	rate                    float64
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
	result := newRunner(o).run(ctx)
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
	var o options
	flags := ff.NewFlagSet("load")
	name := flags.StringLong("name", "run", "name of the run in the report")
	hosts := flags.StringLong("hosts", "", "caller addresses of the nodes, separated by commas")
	engines := flags.StringLong("engines", "", "addresses of the engines, for their counters")
	metrics := flags.StringLong("metrics", "", "metrics addresses of the nodes")
	platform := flags.StringLong("platform", "", "the platform's address, for the endpoints listed now")
	workspaces := flags.StringLong("workspaces", "", "workspaces; the bearer key of NAME is key-NAME")
	model := flags.StringLong("model", "drum-assistant", "model that is asked")
	rate := flags.Float64Long("rate", 50, "requests a second outside a surge")
	chats := flags.IntLong("chats", 60, "open chats of a workspace")
	turns := flags.IntLong("turns", 8, "turns of a chat")
	tokens := flags.IntLong("tokens", 20, "tokens of an answer")
	opening := flags.IntLong("opening-bytes", 3000, "size of a chat's first message")
	turn := flags.IntLong("turn-bytes", 300, "size of each later message")
	factor := flags.Float64Long("load-factor", 1.25, "the set multiple that samples are held against")
	seed := flags.Uint64Long("seed", 1, "seed of arrivals and chats")
	phases := flags.StringLong("phases", "steady:6s,surge:6s:2:20,churn:8s", "phases as NAME:DURATION[:WORKSPACES:FACTOR]")
	output := flags.StringLong("output", "", "file to add the result to, as one line of JSON")
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintln(os.Stderr, ffhelp.Flags(flags))
		return o, err
	}
	o = options{
		name: *name, hosts: list(*hosts), engines: list(*engines), metrics: list(*metrics), workspaces: list(*workspaces), platform: *platform,
		model: *model, rate: *rate, chats: *chats, turns: *turns, tokens: *tokens, openingBytes: *opening, turnBytes: *turn,
		loadFactor: *factor, seed: *seed, output: *output,
	}
	if len(o.hosts) == 0 || len(o.workspaces) == 0 || len(o.metrics) == 0 {
		return o, errors.New("--hosts, --metrics and --workspaces must name at least one each")
	}
	for text := range strings.SplitSeq(*phases, ",") {
		p, err := parsePhase(text)
		if err != nil {
			return o, err
		}
		o.phases = append(o.phases, p)
	}
	return o, nil
}

func list(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func parsePhase(text string) (Phase, error) {
	parts := strings.Split(text, ":")
	const short, long = 2, 4
	if len(parts) != short && len(parts) != long {
		return Phase{}, fmt.Errorf("phase %q is not NAME:DURATION[:WORKSPACES:FACTOR]", text)
	}
	duration, err := time.ParseDuration(parts[1])
	if err != nil {
		return Phase{}, fmt.Errorf("phase %q: %w", text, err)
	}
	p := Phase{Name: parts[0], Duration: duration, Factor: 1}
	if len(parts) == long {
		if _, err := fmt.Sscanf(parts[2]+" "+parts[3], "%d %g", &p.Surging, &p.Factor); err != nil {
			return Phase{}, fmt.Errorf("phase %q: %w", text, err)
		}
	}
	return p, nil
}
