package object

import (
	"strings"

	"balsamknot.org/fleet/inifile"
)

// section is one INI section with the lines that it was read from.
type section struct {
	kind Kind
	name string
	line int
	keys []setting
}

type setting struct {
	key   string
	value string
	line  int
}

func (s section) object() string { return string(s.kind) + " " + s.name }

// maxLine bounds a line of a set in bytes.
const maxLine = 64 << 10

// readSections reads a set with the INI library, one line at a time so that each key keeps its line.
func readSections(value []byte) ([]section, Faults) {
	var sections []section
	var faults Faults
	for n, line := range strings.Split(string(value), "\n") {
		line = strings.TrimSpace(line)
		number := n + 1
		switch {
		case inifile.Blank(line):
		case len(line) > maxLine:
			faults = append(faults, Fault{Severity: Error, Line: number, Message: "line is too long", Hint: "64 KiB at most"})
		case line[0] == '[':
			found, fault := readHeader(line, number)
			if fault != nil {
				faults = append(faults, *fault)
			}
			sections = append(sections, found)
		case len(sections) == 0:
			faults = append(faults, Fault{
				Severity: Error, Line: number, Message: "setting outside a section",
				Hint: "begin an object with [Workspace name]",
			})
		default:
			key, value, ok := inifile.Setting(line)
			if !ok {
				faults = append(faults, Fault{
					Severity: Error, Line: number, Object: sections[len(sections)-1].object(),
					Message: "not a setting", Hint: "write Key = value",
				})
				continue
			}
			last := &sections[len(sections)-1]
			last.keys = append(last.keys, setting{key: key, value: value, line: number})
		}
	}
	return sections, faults
}

func readHeader(line string, number int) (section, *Fault) {
	inner, closed := strings.CutSuffix(strings.TrimPrefix(line, "["), "]")
	kind, name, _ := strings.Cut(strings.TrimSpace(inner), " ")
	found := section{kind: Kind(kind), name: strings.TrimSpace(name), line: number}
	fault := Fault{Severity: Error, Object: found.object(), Line: number}
	switch {
	case !closed:
		fault.Message, fault.Hint = "section is not closed", "end it with ]"
	case !knownKind(found.kind):
		fault.Message, fault.Hint = "unknown kind of object", "Workspace, Service, EnginePool or Policy"
	case !validName(found.name):
		fault.Message, fault.Hint = "bad name", "1 to 63 of a-z, 0-9 and -, beginning with a letter"
	default:
		return found, nil
	}
	return found, &fault
}

func knownKind(kind Kind) bool {
	switch kind {
	case KindWorkspace, KindService, KindEnginePool, KindPolicy:
		return true
	}
	return false
}

const maxName = 63

func validName(name string) bool {
	if name == "" || len(name) > maxName || name[0] < 'a' || name[0] > 'z' {
		return false
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
