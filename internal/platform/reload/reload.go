// Package reload receives SIGHUP, with which an operator makes a process reload its settings.
//
// The signal is handled from the start of the process, as its default action would terminate a process that has not read
// its settings yet: early.go ignores it before the Go runtime starts, and this package is initialised before package main,
// its only user.
package reload

import (
	"os"
	"os/signal"
	"syscall"
)

// pending holds at most one signal: several in a row are one request to reload.
var pending = make(chan os.Signal, 1)

func init() { signal.Notify(pending, syscall.SIGHUP) }

// Requests returns the channel that receives a value after one or more SIGHUPs. It must have a single reader.
func Requests() <-chan os.Signal { return pending }
