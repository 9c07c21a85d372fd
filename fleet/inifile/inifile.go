// Package inifile reads INI files a line at a time, so that each setting keeps its line for messages.
package inifile

import "gopkg.in/ini.v1"

// Setting splits one line into key and value with the INI library, so that quotes and comments mean what they mean
// elsewhere. ok is false when the line holds no setting.
func Setting(line string) (key, value string, ok bool) {
	file, err := ini.LoadSources(ini.LoadOptions{
		SpaceBeforeInlineComment: true,
		IgnoreContinuation:       true,
	}, []byte(line))
	if err != nil {
		return "", "", false
	}
	keys := file.Section(ini.DefaultSection).Keys()
	if len(keys) != 1 || keys[0].Name() == "" {
		return "", "", false
	}
	return keys[0].Name(), keys[0].Value(), true
}

// Blank reports whether a trimmed line is empty or a comment.
func Blank(line string) bool {
	return line == "" || line[0] == '#' || line[0] == ';'
}
