package inifile

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Fault is one problem in a settings file.
type Fault struct {
	File string
	// Line is the line number, from 1; 0 when the problem belongs to no line, such as a missing setting.
	Line    int
	Key     string
	Message string
}

// Faults holds all problems in a settings file.
type Faults []Fault

// Error implements the error interface with one line per fault, in the form file:line: key: message.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fmt.Sprintf("%s:%d: %s: %s", fault.File, fault.Line, fault.Key, fault.Message)
	}
	return strings.Join(lines, "\n")
}

// Setter validates and stores the value of a setting. Its error becomes the message of a Fault.
type Setter func(value string) error

// Schema describes a settings file that has a single section.
type Schema struct {
	// Section is the section's name, without brackets.
	Section string
	// Setters holds the setter of each valid key.
	Setters map[string]Setter
	// Required lists the keys without which the file is invalid.
	Required []string
	// IgnoreUnknown skips unknown keys instead of reporting them.
	IgnoreUnknown bool
}

// Parse passes each setting to its setter. The error is of type Faults, in order of lines, and holds all faults found; path
// only names the file in them. Settings before the section's header are accepted too.
func (s Schema) Parse(path string, content []byte) error {
	seen := make(map[string]bool)
	var faults Faults
	for i, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if IsBlankOrComment(line) || line == "["+s.Section+"]" {
			continue
		}
		key, message := s.parseLine(line, seen)
		if message != "" {
			faults = append(faults, Fault{File: path, Line: i + 1, Key: key, Message: message})
		}
	}
	for _, key := range s.Required {
		if !seen[key] {
			faults = append(faults, Fault{File: path, Key: key, Message: "setting is missing"})
		}
	}
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return faults
}

// parseLine stores the setting of one line and returns its key, and a message if the line is invalid. seen holds the keys
// of earlier lines.
func (s Schema) parseLine(line string, seen map[string]bool) (key, message string) {
	key, value, ok := SplitSetting(line)
	if !ok {
		return line, "not a setting; write Key = value below [" + s.Section + "]"
	}
	setter, known := s.Setters[key]
	switch {
	case !known && s.IgnoreUnknown:
		return key, ""
	case !known:
		return key, "unknown setting"
	case seen[key]:
		return key, "duplicate setting"
	}
	seen[key] = true
	if err := setter(value); err != nil {
		return key, err.Error()
	}
	return key, ""
}

// Text accepts any text that is not empty.
func Text[T ~string](target *T) Setter {
	return func(value string) error {
		if value == "" {
			return fmt.Errorf("is empty")
		}
		*target = T(value)
		return nil
	}
}

// Address accepts ip:port; the host must be an IP address, not a name.
func Address(target *string) Setter {
	return func(value string) error {
		if err := checkAddress(value); err != nil {
			return err
		}
		*target = value
		return nil
	}
}

// Addresses accepts one or more ip:port, separated by commas. An empty value is an error; see Optional.
func Addresses(target *[]string) Setter {
	return func(value string) error {
		for part := range strings.SplitSeq(value, ",") {
			part = strings.TrimSpace(part)
			if err := checkAddress(part); err != nil {
				return err
			}
			*target = append(*target, part)
		}
		return nil
	}
}

func checkAddress(value string) error {
	ip, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(ip) == nil {
		return fmt.Errorf("%q is not ip:port", value)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q: port must be a number from 0 to 65535", value)
	}
	return nil
}

// Secret accepts at least minimumBytes bytes in hexadecimal, two digits each.
func Secret(target *[]byte, minimumBytes int) Setter {
	return func(value string) error {
		raw, err := hex.DecodeString(value)
		if err != nil || len(raw) < minimumBytes {
			return fmt.Errorf("must be at least %d bytes in hexadecimal", minimumBytes)
		}
		*target = raw
		return nil
	}
}

// Duration accepts a duration with a unit, such as 10s, that is not below minimum.
func Duration(target *time.Duration, minimum time.Duration) Setter {
	return func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d < minimum {
			return fmt.Errorf("%q is not a duration of at least %s, such as 10s", value, minimum)
		}
		*target = d
		return nil
	}
}

// OneOf accepts one of the allowed values, in the same case.
func OneOf[T ~string](target *T, allowed ...T) Setter {
	return func(value string) error {
		if !slices.Contains(allowed, T(value)) {
			return fmt.Errorf("%q is not one of %v", value, allowed)
		}
		*target = T(value)
		return nil
	}
}

// Optional ignores an empty value, so that the target keeps its default, and passes any other to setter.
func Optional(setter Setter) Setter {
	return func(value string) error {
		if value == "" {
			return nil
		}
		return setter(value)
	}
}

// Number accepts a decimal number that is not below minimum.
func Number(target *float64, minimum float64) Setter {
	return func(value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < minimum {
			return fmt.Errorf("%q is not a number of at least %g", value, minimum)
		}
		*target = n
		return nil
	}
}

// Ports accepts a range of ports such as 7340-7355, both ends included.
func Ports(first, last *uint16) Setter {
	return func(value string) error {
		from, to, _ := strings.Cut(value, "-")
		a, err1 := strconv.ParseUint(from, 10, 16)
		b, err2 := strconv.ParseUint(to, 10, 16)
		if err1 != nil || err2 != nil || a > b {
			return fmt.Errorf("%q is not a range of ports such as 7340-7355", value)
		}
		*first, *last = uint16(a), uint16(b)
		return nil
	}
}
