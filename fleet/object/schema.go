package object

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/keeper"
)

// field is one key of a kind of object.
type field[T any] struct {
	key      string
	required bool
	set      func(object *T, value string) error
	hint     string
}

var workspaceFields = []field[Workspace]{
	{"KeyHash", true, func(w *Workspace, v string) error { return parseHash(&w.KeyHash, v) }, "64 hexadecimal digits, the SHA-256 of the bearer key"},
	{"Services", true, func(w *Workspace, v string) error { return parseNames(&w.Services, v) }, "names of services, separated by commas"},
	{"Weight", false, func(w *Workspace, v string) error { return parseFloat(&w.Weight, v, 1, 1000) }, "a number from 1 to 1000"},
	{"Priority", false, func(w *Workspace, v string) error { return parseInt(&w.Priority, v, 0, 9) }, "a whole number from 0 to 9"},
	{"HomeRegion", false, func(w *Workspace, v string) error { w.HomeRegion = host.Region(v); return nil }, "a region of the platform's list"},
}

var serviceFields = []field[Service]{
	{"Pool", true, func(s *Service, v string) error { s.Pool = v; return nil }, "the name of an EnginePool"},
	{"Policy", true, func(s *Service, v string) error { s.Policy = v; return nil }, "the name of a Policy"},
	{"Model", false, func(s *Service, v string) error { s.Model = v; return nil }, "the model name in chat requests"},
	{"Path", false, func(s *Service, v string) error { return parsePath(&s.Path, v) }, "a path like /returns/"},
	{"Repeatable", false, func(s *Service, v string) error { return parseBool(&s.Repeatable, v) }, "true or false"},
}

var enginePoolFields = []field[EnginePool]{
	{"Capacity", false, func(p *EnginePool, v string) error { return parseInt(&p.Capacity, v, 0, 100_000) }, "requests at once on an endpoint; 0 leaves it to its report"},
	{"Fencing", false, func(p *EnginePool, v string) error { return parseBool(&p.Fencing, v) }, "true or false"},
}

var policyFields = []field[Policy]{
	{"LoadFactor", true, parseLoadFactor, "a number from 1 to 10"},
	{"ReuseWait", false, func(p *Policy, v string) error { return parseDuration(&p.ReuseWait, v, 0, 10*time.Second) }, "a time like 100ms, at most 10s; 0s for no wait"},
	{"SpillDepth", false, func(p *Policy, v string) error { return parseInt(&p.SpillDepth, v, 1, 64) }, "a whole number from 1 to 64"},
	{"QueueLimit", false, func(p *Policy, v string) error { return parseInt(&p.QueueLimit, v, 0, 10_000) }, "a whole number from 0 to 10000"},
	{"QueueWait", false, func(p *Policy, v string) error { return parseDuration(&p.QueueWait, v, 0, time.Minute) }, "a time like 2s, at most 1m"},
	{"Deadline", true, func(p *Policy, v string) error { return parseDuration(&p.Deadline, v, time.Millisecond, time.Hour) }, "a time like 60s, at most 1h"},
	{"RetryBudget", false, func(p *Policy, v string) error { return parseFloat(&p.RetryBudget, v, 0, 1) }, "a share from 0 to 1"},
	{"FirstToken", false, func(p *Policy, v string) error { return parseDuration(&p.FirstToken, v, time.Millisecond, time.Hour) }, "a time like 630ms"},
	{"Answer", false, func(p *Policy, v string) error { return parseDuration(&p.Answer, v, time.Millisecond, time.Hour) }, "a time like 30s"},
	{"Objective", false, func(p *Policy, v string) error { return parseFloat(&p.Objective, v, 0.5, 0.99999) }, "a share from 0.5 to 0.99999"},
}

// Defaults of optional settings.
const (
	defaultWeight      = 1
	defaultReuseWait   = 100 * time.Millisecond
	defaultSpillDepth  = 3
	defaultQueueLimit  = 64
	defaultQueueWait   = 2 * time.Second
	defaultRetryBudget = 0.1
	defaultFirstToken  = 630 * time.Millisecond
	defaultAnswer      = 30 * time.Second
	defaultObjective   = 0.95
)

func defaultPolicy(name string) Policy {
	return Policy{
		Name: name, ReuseWait: defaultReuseWait, SpillDepth: defaultSpillDepth, QueueLimit: defaultQueueLimit,
		QueueWait: defaultQueueWait, RetryBudget: defaultRetryBudget, FirstToken: defaultFirstToken,
		Answer: defaultAnswer, Objective: defaultObjective,
	}
}

// build fills an object from a section and reports every key that is unknown, repeated, malformed or missing.
func build[T any](object *T, fields []field[T], s section) Faults {
	var faults Faults
	fault := func(key string, line int, message, hint string) {
		faults = append(faults, Fault{Error, s.object(), key, line, message, hint})
	}
	first := make(map[string]int)
	for _, found := range s.keys {
		known, ok := lookup(fields, found.key)
		switch {
		case !ok:
			fault(found.key, found.line, "unknown setting", "one of "+strings.Join(keysOf(fields), ", "))
			continue
		case first[found.key] > 0:
			fault(found.key, found.line, fmt.Sprintf("set again; first on line %d", first[found.key]), "keep one")
			continue
		}
		first[found.key] = found.line
		if err := known.set(object, found.value); err != nil {
			fault(found.key, found.line, err.Error(), known.hint)
		}
	}
	for _, f := range fields {
		if f.required && first[f.key] == 0 {
			fault(f.key, s.line, "setting is missing", f.hint)
		}
	}
	return faults
}

func lookup[T any](fields []field[T], key string) (field[T], bool) {
	for _, f := range fields {
		if f.key == key {
			return f, true
		}
	}
	return field[T]{}, false
}

func keysOf[T any](fields []field[T]) []string {
	keys := make([]string, len(fields))
	for i, f := range fields {
		keys[i] = f.key
	}
	return keys
}

func parseHash(into *string, value string) error {
	raw, err := hex.DecodeString(value)
	if err != nil || len(raw) != 32 {
		return errors.New("not a SHA-256 in hexadecimal")
	}
	*into = strings.ToLower(value)
	return nil
}

func parseNames(into *[]string, value string) error {
	for name := range strings.SplitSeq(value, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			return errors.New("empty name in the list")
		}
		*into = append(*into, name)
	}
	return nil
}

func parseFloat(into *float64, value string, least, most float64) error {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || n < least || n > most {
		return fmt.Errorf("%q is not a number from %v to %v", value, least, most)
	}
	*into = n
	return nil
}

func parseInt(into *int, value string, least, most int) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < least || n > most {
		return fmt.Errorf("%q is not a whole number from %d to %d", value, least, most)
	}
	*into = n
	return nil
}

func parseBool(into *bool, value string) error {
	b, err := strconv.ParseBool(value)
	if err != nil {
		return fmt.Errorf("%q is neither true nor false", value)
	}
	*into = b
	return nil
}

func parseDuration(into *time.Duration, value string, least, most time.Duration) error {
	d, err := time.ParseDuration(value)
	if err != nil {
		return fmt.Errorf("%q is not a time with a unit", value)
	}
	if d < least || d > most {
		return fmt.Errorf("%s is not from %s to %s", d, least, most)
	}
	*into = d
	return nil
}

func parsePath(into *string, value string) error {
	if len(value) < 2 || value[0] != '/' || value[len(value)-1] != '/' || strings.Contains(value, "//") {
		return fmt.Errorf("%q does not begin and end with a single slash", value)
	}
	if strings.HasPrefix(value, "/v1/") {
		return errors.New("paths below /v1/ are for models")
	}
	*into = value
	return nil
}

func parseLoadFactor(p *Policy, value string) error {
	const most = 10
	var factor float64
	if err := parseFloat(&factor, value, 1, most); err != nil {
		return err
	}
	p.LoadFactor = keeper.LoadFactor(factor)
	return nil
}
