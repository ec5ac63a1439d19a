package lease

import (
	"fmt"
	"log/slog"
)

// raftLog writes raft's messages to the node's log. A panic of raft ends the voter, not the process (Leases.runVoter).
type raftLog struct{ log *slog.Logger }

func (l raftLog) Debug(v ...any)           {}
func (l raftLog) Debugf(string, ...any)    {}
func (l raftLog) Info(v ...any)            { l.log.Debug("leases: raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Infof(f string, v ...any) { l.log.Debug("leases: raft", "says", fmt.Sprintf(f, v...)) }
func (l raftLog) Warning(v ...any)         { l.log.Debug("leases: raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Warningf(f string, v ...any) {
	l.log.Debug("leases: raft", "says", fmt.Sprintf(f, v...))
}
func (l raftLog) Error(v ...any)            { l.log.Warn("leases: raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Errorf(f string, v ...any) { l.log.Warn("leases: raft", "says", fmt.Sprintf(f, v...)) }
func (l raftLog) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (l raftLog) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (l raftLog) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (l raftLog) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
