package hollow

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticks is the kernel's USER_HZ, which is 100 on all Linux platforms that Go supports.
const ticks = 100

// usage is the resource usage of a process so far.
type usage struct {
	cpu     time.Duration
	rss     int64
	read    int64 // bytes read by read(2) from streams and files, without datagrams
	written int64 // bytes written by write(2)
	writes  int64 // calls of write(2)
}

// sub returns the usage since an earlier reading. The memory is the current one.
func (u usage) sub(v usage) usage {
	return usage{u.cpu - v.cpu, u.rss, u.read - v.read, u.written - v.written, u.writes - v.writes}
}

// usageOf returns the resource usage of a process.
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
	// The program name is in parentheses and may contain any character, so the numbers begin after the last parenthesis.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const utime, stime, rss = 11, 12, 21
	if len(fields) <= rss {
		return u, fmt.Errorf("invalid /proc/PID/stat: only %d fields after the program name", len(fields))
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
