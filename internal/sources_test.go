package internal

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// refusals are what the platform refuses in sources other than tests: it then builds nothing, and starts nothing anywhere.
var refusals = []struct {
	what    string
	pattern *regexp.Regexp
}{
	{"shared memory", regexp.MustCompile(
		`/dev/shm|/run/shm|\bshm_(open|unlink)\b|\bshm(get|at|dt|ctl)\b|(?i)\bsysvshm|\bsys_shm|\bmemfd|\bmap_shared\b`)},
	{"preloading", regexp.MustCompile(`\bLD_(PRELOAD|AUDIT|LIBRARY_PATH)\b|ld\.so\.preload`)},
	{"tracing of processes", regexp.MustCompile(
		`(?i)\bptrace|\bsys_ptrace|\bprocess_?vm_?(read|write)v|\bPtraceSyscall\b|/proc/[^"\s]*/(mem|maps|pagemap)\b`)},
	{"the platform's own folders of programs", regexp.MustCompile(`\bgiven/kit\b|\bkit/(more/)?[a-z0-9./-]*\bbin\b`)},
}

// Guards against sources that the platform refuses, which keeps the tier from starting on every deployment. It takes all sources
// into account, those of the lab and of packages for tests too: only files named _test.go and testdata are exempt.
func TestSourcesHaveNothingThatThePlatformRefuses(t *testing.T) {
	files := sourceFiles(t)
	for _, path := range files {
		text, err := os.ReadFile(filepath.Join("..", path))
		if err != nil {
			t.Fatal(err)
		}
		for _, refusal := range refusals {
			for _, found := range refusal.pattern.FindAllIndex(text, -1) {
				line := 1 + strings.Count(string(text[:found[0]]), "\n")
				t.Errorf("%s:%d: %q, %s: the platform refuses the sources; what only tests need belongs into a _test.go file",
					path, line, text[found[0]:found[1]], refusal.what)
			}
		}
	}
	if len(files) < minSourceFiles {
		t.Errorf("only %d sources were looked at", len(files))
	}
}

// minSourceFiles is below the number of sources of this module, and above that of any one folder.
const minSourceFiles = 200

// Each refusal is found in a line that has it, and not in words that only resemble it.
func TestRefusalsAreRecognized(t *testing.T) {
	refused := map[string]string{
		`const root = "/dev/shm"`:                                 "shared memory",
		`unix.MemfdCreate("log", 0)`:                              "shared memory",
		`id, err := unix.SysvShmGet(key, size, 0)`:                "shared memory",
		`unix.Mmap(fd, 0, n, unix.PROT_READ, syscall.MAP_SHARED)`: "shared memory",
		`"LD_PRELOAD=" + library`:                                 "preloading",
		`syscall.PtraceAttach(pid)`:                               "tracing of processes",
		`unix.ProcessVMReadv(pid, local, remote, 0)`:              "tracing of processes",
		`os.Open("/proc/1/mem")`:                                  "tracing of processes",
		`exec.Command("../given/kit/more/bin/play")`:              "the platform's own folders of programs",
	}
	for line, want := range refused {
		found := ""
		for _, refusal := range refusals {
			if refusal.pattern.MatchString(line) {
				found = refusal.what
			}
		}
		if found != want {
			t.Errorf("%s is taken for %q, want %q", line, found, want)
		}
	}
	for _, line := range []string{`"net/http/httptrace"`, `os.ReadFile("/proc/meminfo")`, `// the toolkit's binary`, `hashmap_shared()`} {
		for _, refusal := range refusals {
			if refusal.pattern.MatchString(line) {
				t.Errorf("%s is taken for %s", line, refusal.what)
			}
		}
	}
}

// sourceFiles returns the paths of all files that git knows, or would add, and that are neither tests nor pages.
func sourceFiles(t *testing.T) (paths []string) {
	t.Helper()
	list := exec.Command("git", "ls-files", "-z", "--cached", "--others", "--exclude-standard", "--",
		"*.go", "*.c", "*.h", "*.s", "deploy", "tools", ".ci", "scenarios", ":!*_test.go", ":!**/testdata/**", ":!*.md")
	list.Dir = ".."
	printed, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range strings.Split(strings.TrimRight(string(printed), "\x00"), "\x00") {
		if _, err := os.Stat(filepath.Join("..", path)); err == nil { // a deleted file may not be committed yet
			paths = append(paths, path)
		}
	}
	return paths
}
