// Package inifile parses INI files line by line, so that error messages can name the line of each setting, which the INI
// library does not keep.
package inifile

import "gopkg.in/ini.v1"

// SplitSetting splits one line into key and value. It uses the INI library, so that quotes and comments have their usual
// meaning. ok is false when the line is not of the form Key = value.
func SplitSetting(line string) (key, value string, ok bool) {
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

// IsBlankOrComment reports whether a line without leading blanks is empty or a comment, which starts with # or ;.
func IsBlankOrComment(line string) bool {
	return line == "" || line[0] == '#' || line[0] == ';'
}
