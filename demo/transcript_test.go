package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdTranscript writes the file transcript: each call as sent and answered, with what the nodes logged of it.
// Names that differ from run to run are replaced.
func cmdTranscript(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	var b strings.Builder
	for _, name := range args {
		s.mu.Lock()
		a, request := s.answers[name], s.sent[name]
		s.mu.Unlock()
		fmt.Fprintf(&b, "> %s\n< %d\n", request, a.status)
		for _, header := range []string{"Content-Type", "Balsamknot-Endpoint", "Balsamknot-Keeper", "Retry-After"} {
			if value := a.header.Get(header); value != "" {
				fmt.Fprintf(&b, "< %s: %s\n", header, value)
			}
		}
		for _, line := range strings.Split(strings.TrimRight(a.body, "\n"), "\n") {
			fmt.Fprintf(&b, "| %s\n", line)
		}
		b.WriteString("\n")
	}
	b.WriteString(s.logged())
	text := changing.ReplaceAllString(b.String(), "ID")
	ts.Check(os.WriteFile(filepath.Join(s.dir, "transcript"), []byte(text), 0o600))
}

// changing matches call ids and idempotency keys.
var changing = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

// logged returns the events of requests and claims, without times; the home of a key is random, as the key is.
func (s *scene) logged() string {
	var lines []string
	for _, h := range s.layout.Hosts {
		file, err := os.Open(filepath.Join(s.dir, h.ID+".log"))
		s.ts.Check(err)
		scanner := bufio.NewScanner(file)
		for scanner.Scan() {
			var e map[string]any
			if json.Unmarshal(scanner.Bytes(), &e) != nil {
				continue
			}
			number, _ := e["Event"].(string)
			switch {
			case strings.HasPrefix(number, "BK14"):
				lines = append(lines, fmt.Sprintln(number, e["message"], e["Host"], e["Workspace"], e["Service"], e["Keeper"], e["Endpoint"], e["Code"], e["Outcome"]))
			case strings.HasPrefix(number, "BK15"):
				lines = append(lines, fmt.Sprintln(number, e["message"], "HOME", e["Key"]))
			}
		}
		s.ts.Check(file.Close())
	}
	sort.Strings(lines)
	return strings.Join(lines, "")
}
