// Package reload receives SIGHUP, by which an operator has a process read its settings again.
//
// The signal is caught from the first moment of the process on, as its default action would end a process that has not
// read its settings yet: early.go ignores it before the Go runtime starts, and the package is initialised before the
// packages of main. package main is its only user.
package reload

import (
	"os"
	"os/signal"
	"syscall"
)

// pending holds at most one signal: several in a row are one request to read the settings again.
var pending = make(chan os.Signal, 1)

func init() { signal.Notify(pending, syscall.SIGHUP) }

// Requests returns the channel on which a value arrives after one or more SIGHUPs. It has one reader.
func Requests() <-chan os.Signal { return pending }
