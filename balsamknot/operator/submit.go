package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v4"

	"balsamknot.org/balsamknot/node"
)

// requestTimeout bounds one request to a node, with its response.
const requestTimeout = 10 * time.Second

// nodeFlag adds --node to a subcommand.
func nodeFlag(flags *ff.FlagSet) *string {
	return flags.StringLong("node", "127.0.0.1:17003", "operator address (ip:port) of any node")
}

func submitCommand(parent *ff.FlagSet, s Streams) *ff.Command {
	flags := ff.NewFlagSet("submit").SetParent(parent)
	address := nodeFlag(flags)
	format := outputFlag(flags)
	return &ff.Command{
		Name: "submit", Usage: "balsamknot submit --node IP:PORT FILE",
		ShortHelp: "let a node validate a revised set and compare it with the set in force",
		LongHelp:  "The set is not published: the platform takes it from its own operators.\n\nExample:\n  balsamknot submit --node 127.0.0.1:17003 set.ini",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			value, err := readFile(args, s)
			if err != nil {
				return err
			}
			verdict, err := requestJSON[node.Verdict](ctx, http.MethodPost, *address, "/submit", value)
			if err != nil {
				return err
			}
			return writeVerdict(s.Out, outputFormat(*format), verdict)
		},
	}
}

// requestJSON sends a request to the operator address of a node and decodes the JSON response.
func requestJSON[T any](ctx context.Context, method, address, path string, body []byte) (T, error) {
	var value T
	content, err := request(ctx, method, address, path, body)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(content, &value); err != nil {
		return value, exitWith(ExitFailed, fmt.Errorf("decode response of node %s: %w", address, err))
	}
	return value, nil
}

func request(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, exitWith(ExitUsage, err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, exitWith(ExitFailed, fmt.Errorf("request to node %s: %w", address, err))
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, exitWith(ExitFailed, fmt.Errorf("request to node %s: %s: %s", address, response.Status, content))
	}
	return content, nil
}
