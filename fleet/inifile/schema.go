package inifile

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	File string
	// Line counts from 1; 0 when a setting is missing.
	Line    int
	Key     string
	Message string
}

// Faults is everything wrong with a settings file.
type Faults []Fault

// Error implements error, one line a fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fmt.Sprintf("%s:%d: %s: %s", fault.File, fault.Line, fault.Key, fault.Message)
	}
	return strings.Join(lines, "\n")
}

// Setter takes a setting's value, or says what is wrong with it.
type Setter func(value string) error

// Schema describes a file of one section.
type Schema struct {
	// Section is the name between the brackets.
	Section string
	// Setters holds a setter for each key.
	Setters map[string]Setter
	// Required keys must be there.
	Required []string
	// Lenient passes over unknown keys.
	Lenient bool
}

// Parse gives each setting to its setter. The error is a Faults with every fault found.
func (s Schema) Parse(path string, content []byte) error {
	seen := make(map[string]bool)
	var faults Faults
	for i, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if Blank(line) || line == "["+s.Section+"]" {
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

func (s Schema) parseLine(line string, seen map[string]bool) (key, message string) {
	key, value, ok := Setting(line)
	if !ok {
		return line, "not a setting; write Key = value below [" + s.Section + "]"
	}
	set, known := s.Setters[key]
	switch {
	case !known && s.Lenient:
		return key, ""
	case !known:
		return key, "unknown setting"
	case seen[key]:
		return key, "set twice"
	}
	seen[key] = true
	if err := set(value); err != nil {
		return key, err.Error()
	}
	return key, ""
}

// Text takes any text but an empty one.
func Text[T ~string](into *T) Setter {
	return func(value string) error {
		if value == "" {
			return fmt.Errorf("is empty")
		}
		*into = T(value)
		return nil
	}
}

// Address takes ip:port.
func Address(into *string) Setter {
	return func(value string) error {
		if err := checkAddress(value); err != nil {
			return err
		}
		*into = value
		return nil
	}
}

// Addresses takes a list of ip:port with commas between them; an empty list is one.
func Addresses(into *[]string) Setter {
	return func(value string) error {
		for part := range strings.SplitSeq(value, ",") {
			part = strings.TrimSpace(part)
			if err := checkAddress(part); err != nil {
				return err
			}
			*into = append(*into, part)
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
		return fmt.Errorf("%q has no port from 0 to 65535", value)
	}
	return nil
}

// Secret takes at least least bytes in hexadecimal.
func Secret(into *[]byte, least int) Setter {
	return func(value string) error {
		raw, err := hex.DecodeString(value)
		if err != nil || len(raw) < least {
			return fmt.Errorf("is not at least %d bytes in hexadecimal", least)
		}
		*into = raw
		return nil
	}
}

// Duration takes a time of at least least, such as 10s.
func Duration(into *time.Duration, least time.Duration) Setter {
	return func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d < least {
			return fmt.Errorf("%q is not a time of at least %s, such as 10s", value, least)
		}
		*into = d
		return nil
	}
}

// OneOf takes one of the allowed words.
func OneOf[T ~string](into *T, allowed ...T) Setter {
	return func(value string) error {
		if !slices.Contains(allowed, T(value)) {
			return fmt.Errorf("%q is not one of %v", value, allowed)
		}
		*into = T(value)
		return nil
	}
}

// Optional takes an empty value as no value, and gives any other to set.
func Optional(set Setter) Setter {
	return func(value string) error {
		if value == "" {
			return nil
		}
		return set(value)
	}
}

// Number takes a number of at least least.
func Number(into *float64, least float64) Setter {
	return func(value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || n < least {
			return fmt.Errorf("%q is not a number of at least %g", value, least)
		}
		*into = n
		return nil
	}
}

// Ports takes a first and a last port, such as 7340-7355.
func Ports(first, last *uint16) Setter {
	return func(value string) error {
		from, to, _ := strings.Cut(value, "-")
		a, err1 := strconv.ParseUint(from, 10, 16)
		b, err2 := strconv.ParseUint(to, 10, 16)
		if err1 != nil || err2 != nil || a > b {
			return fmt.Errorf("%q is not a first and a last port, such as 7340-7355", value)
		}
		*first, *last = uint16(a), uint16(b)
		return nil
	}
}
