// Package operatorconfig reads and validates the configuration that an operator sends: routes, services and limits, as
// one JSON object.
//
// Keepers parse what arrives on PUT /config before they propose it, every other process parses what it is notified of,
// and "dunetide check config" parses a file. A Config is immutable once it is parsed. What is stored and sent on is
// Config.Raw, the bytes as the operator sent them; unknown keys are ignored. docs/control.md says how a configuration
// comes into force.
package operatorconfig
