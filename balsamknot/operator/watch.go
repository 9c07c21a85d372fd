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

const watchInterval = 200 * time.Millisecond

// Progress is how far a revision has come.
type Progress struct {
	Revision revision.Number
	// Result is Pending, Accepted or Refused.
	Result string
	// InForce of Nodes live nodes have it or a higher one.
	InForce, Nodes int
	Reason         string `json:",omitempty"`
}

func watchCommand(parent *ff.FlagSet, s Streams) *ff.Command {
	flags := ff.NewFlagSet("watch").SetParent(parent)
	address := nodeFlag(flags)
	number := flags.Uint64Long("revision", 0, "revision to wait for; 0 is the newest that the node knows")
	timeout := flags.DurationLong("timeout", 30*time.Second, "how long to wait")
	form := outputFlag(flags)
	return &ff.Command{
		Name: "watch", Usage: "balsamknot watch --node IP:PORT --revision N",
		ShortHelp: "wait until a revision is in force on every live node, or refused",
		LongHelp:  "Exit codes: 0 in force everywhere, 1 refused, 3 timed out.\n\nExample:\n  balsamknot watch --node 127.0.0.1:17003 --revision 2",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			return watch(ctx, *address, revision.Number(*number), output(*form), s)
		},
	}
}

func watch(ctx context.Context, address string, number revision.Number, form output, s Streams) error {
	var last Progress
	for {
		status, err := ask[node.Status](ctx, http.MethodGet, address, "/status?fresh=1", nil)
		if err == nil {
			if number == 0 {
				number = max(status.Revision, status.Refused)
			}
			progress := progressOf(status, number)
			if progress != last && form == outputText {
				fmt.Fprintf(s.Out, "revision %d: %s, in force on %d of %d nodes %s\n",
					progress.Revision, progress.Result, progress.InForce, progress.Nodes, progress.Reason)
			}
			last = progress
			if done, err := concluded(progress, form, s); done {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return exitWith(ExitTimeout, fmt.Errorf("revision %d is not in force everywhere: %w", number, ctx.Err()))
		case <-time.After(watchInterval):
		}
	}
}

func concluded(p Progress, form output, s Streams) (bool, error) {
	refused := p.Result == "Refused"
	if !refused && (p.Result != "Accepted" || p.InForce < p.Nodes) {
		return false, nil
	}
	if form == outputJSON {
		if err := writeJSON(s.Out, p); err != nil {
			return true, err
		}
	}
	if refused {
		return true, exitWith(ExitFailed, errors.New("the revision is refused"))
	}
	return true, nil
}

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
