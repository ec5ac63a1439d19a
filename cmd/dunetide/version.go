package main

import (
	"fmt"
	"runtime/debug"
)

// versionCmd prints the revision that the program was built from.
type versionCmd struct{}

// Run implements the command.
func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("dunetide: built without version information")
		return nil
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Printf("dunetide revision=%s go=%s\n", revision, info.GoVersion)
	return nil
}
