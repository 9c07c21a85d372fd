package main

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReleaseIsTheRevisionOfTheSources(t *testing.T) {
	t.Parallel()
	require.Equal(t, "unknown", revision(nil))
	build := []debug.BuildSetting{{Key: "vcs", Value: "git"}, {Key: "vcs.revision", Value: "0c14163"}, {Key: "vcs.modified", Value: "false"}}
	require.Equal(t, "0c14163", revision(build))
	build[2].Value = "true"
	require.Equal(t, "0c14163+", revision(build))
}
