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

const askTimeout = 10 * time.Second

// nodeFlag adds --node to a verb.
func nodeFlag(flags *ff.FlagSet) *string {
	return flags.StringLong("node", "127.0.0.1:17003", "operator address of any node, as ip:port")
}

func submitCommand(parent *ff.FlagSet, s Streams) *ff.Command {
	flags := ff.NewFlagSet("submit").SetParent(parent)
	address := nodeFlag(flags)
	form := outputFlag(flags)
	return &ff.Command{
		Name: "submit", Usage: "balsamknot submit --node IP:PORT FILE",
		ShortHelp: "get the fleet's verdict on a revised set and its differences from the one in force",
		LongHelp:  "Nothing is published: the platform takes the set from its own operators.\n\nExample:\n  balsamknot submit --node 127.0.0.1:17003 set.ini",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			value, err := readFile(args, s)
			if err != nil {
				return err
			}
			verdict, err := ask[node.Verdict](ctx, http.MethodPost, *address, "/submit", value)
			if err != nil {
				return err
			}
			return writeVerdict(s.Out, output(*form), verdict)
		},
	}
}

// ask calls a node's operator listener and reads its JSON answer.
func ask[T any](ctx context.Context, method, address, path string, body []byte) (T, error) {
	var answer T
	content, err := askRaw(ctx, method, address, path, body)
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return answer, exitWith(ExitFailed, fmt.Errorf("answer of node %s: %w", address, err))
	}
	return answer, nil
}

func askRaw(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, exitWith(ExitUsage, err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, exitWith(ExitFailed, fmt.Errorf("ask node %s: %w", address, err))
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, exitWith(ExitFailed, fmt.Errorf("ask node %s: %s: %s", address, response.Status, content))
	}
	return content, nil
}
