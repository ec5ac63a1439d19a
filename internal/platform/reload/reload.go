// Package sighup catches SIGHUP from the first moment of a process. Its default action would end the process, also
// one that has not read its settings yet, so the package is initialised ahead of the packages of main.
package reload

import (
	"os"
	"os/signal"
	"syscall"
)

// pending holds at most one signal: a burst stands for one request to look at the settings again.
var pending = make(chan os.Signal, 1)

func init() { signal.Notify(pending, syscall.SIGHUP) }

// Received delivers a value after one or more SIGHUPs. It is for one reader.
func Requests() <-chan os.Signal { return pending }
