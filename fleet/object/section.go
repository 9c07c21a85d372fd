package object

import (
	"strings"

	"balsamknot.org/fleet/inifile"
)

// section is one INI section, which defines one object. line is the line number of its header.
type section struct {
	kind     Kind
	name     string
	line     int
	settings []setting
}

// setting is one Key = value line of a section.
type setting struct {
	key   string
	value string
	line  int
}

func (s section) objectName() string { return string(s.kind) + " " + s.name }

// maxLineBytes is the maximum length of a line in a set.
const maxLineBytes = 64 << 10

// parseSections splits a set into sections. It parses each line separately because the INI library does not keep the line
// numbers that faults report.
func parseSections(value []byte) ([]section, Faults) {
	var sections []section
	var faults Faults
	for i, line := range strings.Split(string(value), "\n") {
		line = strings.TrimSpace(line)
		lineNumber := i + 1
		switch {
		case inifile.IsBlankOrComment(line):
		case len(line) > maxLineBytes:
			faults = append(faults, Fault{Severity: Error, Line: lineNumber, Message: "line is too long", Hint: "64 KiB at most"})
		case line[0] == '[':
			header, fault := parseHeader(line, lineNumber)
			if fault != nil {
				faults = append(faults, *fault)
			}
			sections = append(sections, header)
		case len(sections) == 0:
			faults = append(faults, Fault{
				Severity: Error, Line: lineNumber, Message: "setting outside a section",
				Hint: "start a section first, such as [Workspace name]",
			})
		default:
			key, value, ok := inifile.SplitSetting(line)
			if !ok {
				faults = append(faults, Fault{
					Severity: Error, Line: lineNumber, Object: sections[len(sections)-1].objectName(),
					Message: "not a setting", Hint: "write Key = value",
				})
				continue
			}
			last := &sections[len(sections)-1]
			last.settings = append(last.settings, setting{key: key, value: value, line: lineNumber})
		}
	}
	return sections, faults
}

// parseHeader parses a section header. It returns the section even if the header is faulty, so that the settings below it
// are attributed to it.
func parseHeader(line string, lineNumber int) (section, *Fault) {
	content, closed := strings.CutSuffix(strings.TrimPrefix(line, "["), "]")
	kind, name, _ := strings.Cut(strings.TrimSpace(content), " ")
	header := section{kind: Kind(kind), name: strings.TrimSpace(name), line: lineNumber}
	fault := Fault{Severity: Error, Object: header.objectName(), Line: lineNumber}
	switch {
	case !closed:
		fault.Message, fault.Hint = "section header is not closed", "end it with ]"
	case !isKnownKind(header.kind):
		fault.Message, fault.Hint = "unknown kind of object", "Workspace, Service, EnginePool or Policy"
	case !isValidName(header.name):
		fault.Message, fault.Hint = "invalid name", "1 to 63 of a-z, 0-9 and -, starting with a letter"
	default:
		return header, nil
	}
	return header, &fault
}

func isKnownKind(kind Kind) bool {
	switch kind {
	case KindWorkspace, KindService, KindEnginePool, KindPolicy:
		return true
	}
	return false
}

// maxNameLength is the maximum length of an object's name in bytes.
const maxNameLength = 63

func isValidName(name string) bool {
	if name == "" || len(name) > maxNameLength || name[0] < 'a' || name[0] > 'z' {
		return false
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
