package main

import (
	"fmt"
	"runtime/debug"
)

// versionCmd prints the revision that the program was built from. It is unknown where the build left it out, as that of
// deploy/system.toml does: a build must not depend on git and on who owns the checkout.
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
