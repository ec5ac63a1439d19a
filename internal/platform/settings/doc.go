// Package settings reads the settings file of a process, which the platform writes before each start, and watches it
// while the process runs.
//
// The file has lines of the form key=value. Settings and its parts say for each key what it means, its unit and its
// default, and so are the operator's manual; diff.go says which keys a running process takes over, and which count from
// the next start. Unknown keys are ignored. The path is in the variable DUNETIDE_CONFIG; "dunetide check settings FILE"
// checks a file. docs/on-call.md says what the log lines ask of the operator.
package settings
