// Package settings reads the settings file of a process, which the platform writes before each start, and watches it for
// changes while the process runs.
//
// The file has lines of the form key=value. The fields of Settings, Limits and Bounds document the meaning, unit and
// default of each key for operators; diff.go lists which keys a running process reloads, and which take effect at the
// next start. Unknown keys are ignored. The environment variable DUNETIDE_CONFIG has the path of the file; "dunetide
// check settings FILE" checks a file. docs/on-call.md describes how operators respond to the log lines.
package settings
