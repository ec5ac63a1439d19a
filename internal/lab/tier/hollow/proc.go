package hollow

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticks is the kernel's USER_HZ, which is 100 wherever Go runs on Linux.
const ticks = 100

// usage is what a process has used so far.
type usage struct {
	cpu     time.Duration
	rss     int64
	read    int64 // bytes of read(2): streams and files; datagrams are not among them
	written int64 // bytes of write(2)
	writes  int64 // calls of write(2)
}

// sub returns what was used since an earlier reading. The memory is that of now.
func (u usage) sub(v usage) usage {
	return usage{u.cpu - v.cpu, u.rss, u.read - v.read, u.written - v.written, u.writes - v.writes}
}

// usageOf reads what a process has used.
func usageOf(pid int) (usage, error) {
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return usage{}, err
	}
	io, err := os.ReadFile(dir + "io")
	if err != nil {
		return usage{}, err
	}
	return parseUsage(stat, io)
}

// parseUsage reads the files stat and io of a process in /proc.
func parseUsage(stat, io []byte) (u usage, err error) {
	// The name of the program is in parentheses and may hold anything; the numbers begin behind it.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const utime, stime, rss = 11, 12, 21
	if len(fields) <= rss {
		return u, fmt.Errorf("a line of %d fields instead of a process's state", len(fields))
	}
	number := func(s string) int64 {
		n, failed := strconv.ParseInt(s, 10, 64)
		if failed != nil {
			err = failed
		}
		return n
	}
	u.cpu = time.Duration(number(fields[utime])+number(fields[stime])) * time.Second / ticks
	u.rss = number(fields[rss]) * int64(os.Getpagesize())
	for line := range strings.Lines(string(io)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "rchar":
			u.read = number(value)
		case "wchar":
			u.written = number(value)
		case "syscw":
			u.writes = number(value)
		}
	}
	return u, err
}
