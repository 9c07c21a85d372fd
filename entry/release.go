package main

import "runtime/debug"

// unknownRelease is the release of a program that was built without the revision of its sources.
const unknownRelease = "unknown"

// release returns the revision from which the program was built, with a + if the sources had changes.
func release() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownRelease
	}
	return revision(info.Settings)
}

func revision(build []debug.BuildSetting) string {
	revision, changed := unknownRelease, ""
	for _, s := range build {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return revision + changed
}
