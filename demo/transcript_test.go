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

// cmdTranscript writes the file transcript: transcript NAME... It holds the request and the response of each named call, and the
// events that the nodes logged about requests and claims. IDs that differ from run to run are replaced by ID.
func cmdTranscript(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	var b strings.Builder
	for _, name := range args {
		s.mu.Lock()
		a, request := s.results[name], s.sentRequests[name]
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
	b.WriteString(s.loggedEvents())
	text := variableIDs.ReplaceAllString(b.String(), "ID")
	ts.Check(os.WriteFile(filepath.Join(s.dir, "transcript"), []byte(text), 0o600))
}

// variableIDs matches request IDs and idempotency keys.
var variableIDs = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

// loggedEvents returns the events that the nodes logged about requests (BK14xx) and claims (BK15xx), sorted and without times.
// The home of a key is written as HOME, because the key is random and decides which host is its home.
func (s *scenario) loggedEvents() string {
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
