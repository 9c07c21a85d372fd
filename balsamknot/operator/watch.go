package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v4"

	"balsamknot.org/balsamknot/node"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/revision"
)

// watchInterval is the time between two status requests of watch.
const watchInterval = 200 * time.Millisecond

// Progress is the state of the roll-out of a revision, as one node reports it. With --output json, watch writes it.
type Progress struct {
	Revision revision.Number
	// Result is Pending, Accepted or Refused.
	Result string
	// InForce is the number of live nodes on which this revision or a higher one is in force, Nodes the number of live nodes.
	// Reason is why the revision was refused.
	InForce, Nodes int
	Reason         string `json:",omitempty"`
}

func watchCommand(parent *ff.FlagSet, s Streams) *ff.Command {
	flags := ff.NewFlagSet("watch").SetParent(parent)
	address := nodeFlag(flags)
	number := flags.Uint64Long("revision", 0, "revision to wait for; 0 means the newest known to the node")
	timeout := flags.DurationLong("timeout", 30*time.Second, "maximum time to wait")
	format := outputFlag(flags)
	return &ff.Command{
		Name: "watch", Usage: "balsamknot watch --node IP:PORT --revision N",
		ShortHelp: "wait until a revision is in force on every live node, or refused",
		LongHelp:  "Exit codes: 0 in force on all live nodes, 1 refused, 3 timed out.\n\nExample:\n  balsamknot watch --node 127.0.0.1:17003 --revision 2",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			return watch(ctx, *address, revision.Number(*number), outputFormat(*format), s)
		},
	}
}

func watch(ctx context.Context, address string, number revision.Number, format outputFormat, s Streams) error {
	var previous Progress
	for {
		status, err := requestJSON[node.Status](ctx, http.MethodGet, address, "/status?fresh=1", nil)
		if err == nil {
			if number == 0 {
				number = max(status.Revision, status.Refused)
			}
			progress := progressOf(status, number)
			if progress != previous && format == outputText {
				fmt.Fprintf(s.Out, "revision %d: %s, in force on %d of %d nodes %s\n",
					progress.Revision, progress.Result, progress.InForce, progress.Nodes, progress.Reason)
			}
			previous = progress
			if done, err := reportIfFinal(progress, format, s); done {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return exitWith(ExitTimeout, fmt.Errorf("revision %d is not in force on all live nodes: %w", number, ctx.Err()))
		case <-time.After(watchInterval):
		}
	}
}

// reportIfFinal reports whether the wait is over. It then writes the JSON output if that format is chosen; its error is nil if
// the revision is in force on all live nodes.
func reportIfFinal(p Progress, format outputFormat, s Streams) (bool, error) {
	refused := p.Result == "Refused"
	if !refused && (p.Result != "Accepted" || p.InForce < p.Nodes) {
		return false, nil
	}
	if format == outputJSON {
		if err := writeJSON(s.Out, p); err != nil {
			return true, err
		}
	}
	if refused {
		return true, exitWith(ExitFailed, errors.New("revision refused"))
	}
	return true, nil
}

// progressOf returns the progress of a revision. Once a higher revision is in force on the node, the result is Accepted even if
// this revision was refused or never read.
func progressOf(status node.Status, number revision.Number) Progress {
	p := Progress{Revision: number, Result: "Pending"}
	for _, h := range status.Hosts {
		if h.State != host.StateLive {
			continue
		}
		p.Nodes++
		if h.Revision >= number {
			p.InForce++
		}
	}
	switch {
	case status.Refused == number:
		p.Result, p.Reason = "Refused", status.RefusedReason
	case status.Revision >= number:
		p.Result = "Accepted"
	}
	return p
}
