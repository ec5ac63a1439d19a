package lease

import (
	"fmt"
	"log/slog"
)

// raftLog writes raft's messages to the node's log. A panic of raft stops the voter, not the process (Leases.runVoter).
type raftLog struct{ log *slog.Logger }

// Debug implements raft.Logger, as the following methods do.
func (l raftLog) Debug(v ...any) {}

// Debugf drops messages for debugging raft itself.
func (l raftLog) Debugf(string, ...any) {}

// Info logs at this program's debug level, as Warning does, because both report single messages.
func (l raftLog) Info(v ...any) { l.log.Debug("leases: raft", "says", fmt.Sprint(v...)) }

// Infof logs at the debug level.
func (l raftLog) Infof(f string, v ...any) { l.log.Debug("leases: raft", "says", fmt.Sprintf(f, v...)) }

// Warning logs at the debug level.
func (l raftLog) Warning(v ...any) { l.log.Debug("leases: raft", "says", fmt.Sprint(v...)) }

// Warningf logs at the debug level.
func (l raftLog) Warningf(f string, v ...any) {
	l.log.Debug("leases: raft", "says", fmt.Sprintf(f, v...))
}

// Error logs a warning.
func (l raftLog) Error(v ...any) { l.log.Warn("leases: raft", "says", fmt.Sprint(v...)) }

// Errorf logs a warning.
func (l raftLog) Errorf(f string, v ...any) { l.log.Warn("leases: raft", "says", fmt.Sprintf(f, v...)) }

// Fatal panics, because raft expects that it does not return.
func (l raftLog) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics.
func (l raftLog) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// Panic panics.
func (l raftLog) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics.
func (l raftLog) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
