// Package operatorconfig parses and validates the configuration that an operator sends: routes, services and limits, as
// one JSON object.
//
// Keepers parse the body of PUT /config before they propose it, all other processes parse the configuration that
// keepers push to them, and "dunetide check config" parses a file. A Config is immutable once it is parsed. Config.Raw,
// the bytes as the operator sent them, is what is stored and forwarded; unknown keys are ignored. docs/control.md
// describes how a configuration comes into force.
package operatorconfig
