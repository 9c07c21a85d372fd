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

// field defines one setting of a kind of object: parse checks a value and stores it in the object, and hint describes the
// valid values.
type field[T any] struct {
	key      string
	required bool
	parse    func(object *T, value string) error
	hint     string
}

var workspaceFields = []field[Workspace]{
	{"KeyHash", true, func(w *Workspace, v string) error { return parseHash(&w.KeyHash, v) }, "64 hexadecimal digits, the SHA-256 of the bearer key"},
	{"Services", true, func(w *Workspace, v string) error { return parseNames(&w.Services, v) }, "names of services, separated by commas"},
	{"Weight", false, func(w *Workspace, v string) error { return parseFloat(&w.Weight, v, 1, 1000) }, "a number from 1 to 1000"},
	{"Priority", false, func(w *Workspace, v string) error { return parseInt(&w.Priority, v, 0, 9) }, "a whole number from 0 to 9"},
	{"HomeRegion", false, func(w *Workspace, v string) error { w.HomeRegion = host.Region(v); return nil }, "a region of the platform's list of hosts"},
}

var serviceFields = []field[Service]{
	{"Pool", true, func(s *Service, v string) error { s.Pool = v; return nil }, "the name of an EnginePool"},
	{"Policy", true, func(s *Service, v string) error { s.Policy = v; return nil }, "the name of a Policy"},
	{"Model", false, func(s *Service, v string) error { s.Model = v; return nil }, "the model name in chat requests"},
	{"Path", false, func(s *Service, v string) error { return parsePath(&s.Path, v) }, "a path such as /returns/"},
	{"Repeatable", false, func(s *Service, v string) error { return parseBool(&s.Repeatable, v) }, "true or false"},
}

var enginePoolFields = []field[EnginePool]{
	{"Capacity", false, func(p *EnginePool, v string) error { return parseInt(&p.Capacity, v, 0, 100_000) }, "maximum concurrent requests per endpoint, from 0 to 100000; 0 uses the capacity that the endpoint reports"},
	{"Fencing", false, func(p *EnginePool, v string) error { return parseBool(&p.Fencing, v) }, "true or false"},
}

var policyFields = []field[Policy]{
	{"LoadFactor", true, parseLoadFactor, "a number from 1 to 10"},
	{"ReuseWait", false, func(p *Policy, v string) error { return parseDuration(&p.ReuseWait, v, 0, 10*time.Second) }, "a duration such as 100ms, at most 10s; 0s for no wait"},
	{"SpillDepth", false, func(p *Policy, v string) error { return parseInt(&p.SpillDepth, v, 1, 64) }, "a whole number from 1 to 64"},
	{"QueueLimit", false, func(p *Policy, v string) error { return parseInt(&p.QueueLimit, v, 0, 10_000) }, "a whole number from 0 to 10000"},
	{"QueueWait", false, func(p *Policy, v string) error { return parseDuration(&p.QueueWait, v, 0, time.Minute) }, "a duration such as 2s, at most 1m"},
	{"Deadline", true, func(p *Policy, v string) error { return parseDuration(&p.Deadline, v, time.Millisecond, time.Hour) }, "a duration such as 60s, at most 1h"},
	{"RetryBudget", false, func(p *Policy, v string) error { return parseFloat(&p.RetryBudget, v, 0, 1) }, "a fraction from 0 to 1"},
	{"FirstToken", false, func(p *Policy, v string) error { return parseDuration(&p.FirstToken, v, time.Millisecond, time.Hour) }, "a duration such as 630ms"},
	{"Answer", false, func(p *Policy, v string) error { return parseDuration(&p.Answer, v, time.Millisecond, time.Hour) }, "a duration such as 30s"},
	{"Objective", false, func(p *Policy, v string) error { return parseFloat(&p.Objective, v, 0.5, 0.99999) }, "a fraction from 0.5 to 0.99999"},
}

// Defaults of optional settings; those that are not listed default to zero.
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

// parseObject stores the settings of a section in an object. It returns a fault for each setting that is unknown, duplicate
// or invalid, and for each required setting that is missing.
func parseObject[T any](object *T, fields []field[T], s section) Faults {
	var faults Faults
	addFault := func(key string, line int, message, hint string) {
		faults = append(faults, Fault{Error, s.objectName(), key, line, message, hint})
	}
	firstLines := make(map[string]int)
	for _, setting := range s.settings {
		definition, ok := findField(fields, setting.key)
		switch {
		case !ok:
			addFault(setting.key, setting.line, "unknown setting", "one of "+strings.Join(fieldKeys(fields), ", "))
			continue
		case firstLines[setting.key] > 0:
			addFault(setting.key, setting.line, fmt.Sprintf("duplicate setting; first set on line %d", firstLines[setting.key]), "remove one")
			continue
		}
		firstLines[setting.key] = setting.line
		if err := definition.parse(object, setting.value); err != nil {
			addFault(setting.key, setting.line, err.Error(), definition.hint)
		}
	}
	for _, f := range fields {
		if f.required && firstLines[f.key] == 0 {
			addFault(f.key, s.line, "setting is missing", f.hint)
		}
	}
	return faults
}

func findField[T any](fields []field[T], key string) (field[T], bool) {
	for _, f := range fields {
		if f.key == key {
			return f, true
		}
	}
	return field[T]{}, false
}

func fieldKeys[T any](fields []field[T]) []string {
	keys := make([]string, len(fields))
	for i, f := range fields {
		keys[i] = f.key
	}
	return keys
}

func parseHash(target *string, value string) error {
	raw, err := hex.DecodeString(value)
	if err != nil || len(raw) != 32 {
		return errors.New("not a SHA-256 in hexadecimal")
	}
	*target = strings.ToLower(value)
	return nil
}

func parseNames(target *[]string, value string) error {
	for name := range strings.SplitSeq(value, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			return errors.New("the list has an empty name")
		}
		*target = append(*target, name)
	}
	return nil
}

func parseFloat(target *float64, value string, minimum, maximum float64) error {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || n < minimum || n > maximum {
		return fmt.Errorf("%q is not a number from %v to %v", value, minimum, maximum)
	}
	*target = n
	return nil
}

func parseInt(target *int, value string, minimum, maximum int) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < minimum || n > maximum {
		return fmt.Errorf("%q is not a whole number from %d to %d", value, minimum, maximum)
	}
	*target = n
	return nil
}

func parseBool(target *bool, value string) error {
	b, err := strconv.ParseBool(value)
	if err != nil {
		return fmt.Errorf("%q is neither true nor false", value)
	}
	*target = b
	return nil
}

func parseDuration(target *time.Duration, value string, minimum, maximum time.Duration) error {
	d, err := time.ParseDuration(value)
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit", value)
	}
	if d < minimum || d > maximum {
		return fmt.Errorf("%s is not between %s and %s", d, minimum, maximum)
	}
	*target = d
	return nil
}

func parsePath(target *string, value string) error {
	if len(value) < 2 || value[0] != '/' || value[len(value)-1] != '/' || strings.Contains(value, "//") {
		return fmt.Errorf("%q must start and end with a slash and have no empty segment", value)
	}
	if strings.HasPrefix(value, "/v1/") {
		return errors.New("paths under /v1/ are reserved for models")
	}
	*target = value
	return nil
}

func parseLoadFactor(p *Policy, value string) error {
	const maximum = 10
	var factor float64
	if err := parseFloat(&factor, value, 1, maximum); err != nil {
		return err
	}
	p.LoadFactor = keeper.LoadFactor(factor)
	return nil
}
