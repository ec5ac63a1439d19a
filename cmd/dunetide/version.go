package main

import (
	"fmt"
	"runtime/debug"
)

// versionCmd prints the revision that the program was built from. It is unknown if the build does not record it, as the build
// in deploy/system.toml: that must not depend on git or on the owner of the checkout.
type versionCmd struct{}

// Run implements the command.
func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		_, err := fmt.Println("dunetide: built without version information")
		return err
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	_, err := fmt.Printf("dunetide revision=%s go=%s\n", revision, info.GoVersion)
	return err
}
