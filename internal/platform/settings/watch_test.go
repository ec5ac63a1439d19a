package settings

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

const validFile = "node_name=n\nip=10.0.0.7\ninternal_ports=7000,7015\nseeds=10.0.0.7:8003\nfirst_start=true\nlimits.memory_mb=100\n"

// watched is a Watcher with its log and the file that the test writes.
type watched struct {
	*Watcher
	t    *testing.T
	path string
	log  lockedBuffer
}

type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := strings.TrimSpace(b.text.String())
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// watch starts a Watcher over validFile.
func watch(t *testing.T) *watched {
	t.Helper()
	w := &watched{t: t, path: filepath.Join(t.TempDir(), "boot.conf")}
	w.write(validFile)
	var err error
	if w.Watcher, err = NewWatcher(w.path, hclog.New(&hclog.LoggerOptions{Output: &w.log, DisableTime: true})); err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *watched) write(text string) {
	w.t.Helper()
	if err := os.WriteFile(w.path, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// expectLog checks the number of log lines and that the newest one contains all the words.
func (w *watched) expectLog(lines int, words ...string) {
	w.t.Helper()
	got := w.log.lines()
	if len(got) != lines {
		w.t.Fatalf("%d log lines, want %d:\n%s", len(got), lines, strings.Join(got, "\n"))
	}
	for _, word := range words {
		if !strings.Contains(got[lines-1], word) {
			w.t.Errorf("no %q in %q", word, got[lines-1])
		}
	}
}

func TestReloadAppliesSeedsAndMemory(t *testing.T) {
	w := watch(t)
	var notified []*Settings
	w.Subscribe(func(s *Settings) { notified = append(notified, s) })
	before := w.Current()
	w.Reload()
	w.expectLog(0)
	w.write(strings.NewReplacer("10.0.0.7:8003", "10.0.0.8:8003,10.0.0.9:8003", "=100", "=200").Replace(validFile))
	w.Reload()
	w.expectLog(1, "settings taken over", `fields="seeds,limits.memory_mb"`)
	s := w.Current()
	if !reflect.DeepEqual(s.Seeds, []string{"10.0.0.8:8003", "10.0.0.9:8003"}) || s.Limits.MemoryMB != 200 {
		t.Errorf("%+v", s)
	}
	if len(notified) != 2 || notified[0] != before || notified[1] != s {
		t.Errorf("notified %d times", len(notified))
	}
	if len(before.Seeds) != 1 {
		t.Error("previously returned settings were modified")
	}
}

func TestFieldsThatNeedARestartAreLoggedOnce(t *testing.T) {
	w := watch(t)
	w.write(validFile + "zone=z2\nbounds.grace_s=9\nlimits.disk_mb=5\n")
	for range 3 {
		w.Reload()
	}
	w.expectLog(1, "[WARN]", "restart the process", `fields="zone,limits,bounds"`)
	if s := w.Current(); s.Zone != "" || s.Bounds.Grace != 8*time.Second || s.Limits.DiskMB != 0 {
		t.Errorf("%+v", s)
	}
	// Seeds of the same file apply; the fields that need a restart are not logged again.
	w.write(strings.Replace(validFile, ":8003", ":8004", 1) + "zone=z2\nbounds.grace_s=9\nlimits.disk_mb=5\n")
	w.Reload()
	w.expectLog(2, "fields=seeds")
	w.write(strings.Replace(validFile, ":8003", ":8004", 1))
	w.Reload()
	w.expectLog(2)
}

func TestReloadIgnoresFirstStart(t *testing.T) {
	w := watch(t)
	w.write(strings.Replace(validFile, "first_start=true", "first_start=false", 1))
	w.Reload()
	w.expectLog(0)
	if !w.Current().FirstStart {
		t.Error("first_start has changed in a running process")
	}
}

func TestInvalidFileLeavesSettingsInForce(t *testing.T) {
	w := watch(t)
	before := w.Current()
	w.write(strings.Replace(validFile, ":8003", "", 1))
	for range 3 {
		w.Reload()
	}
	w.expectLog(1, "[ERROR]", "line 4: seeds=10.0.0.7", "correct the file")
	if err := os.Remove(w.path); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		w.Reload()
	}
	w.expectLog(2, "[ERROR]", "no such file")
	w.write("")
	w.Reload()
	w.expectLog(3, "node_name is missing")
	if w.Current() != before {
		t.Error("an invalid file was applied")
	}
	w.write(strings.Replace(validFile, ":8003", ":8004", 1))
	w.Reload()
	w.expectLog(4, "settings taken over")
}

func TestNewWatcherFailsOnInvalidFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	if _, err := NewWatcher(path, hclog.NewNullLogger()); !Invalid.Has(err) {
		t.Error(err)
	}
	if err := os.WriteFile(path, []byte("ip=x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := NewWatcher(path, hclog.NewNullLogger()); !Invalid.Has(err) {
		t.Error(err)
	}
}

// writtenAfter is how long it takes to write the file.
const writtenAfter = 40 * time.Millisecond

// Guards against a process that exits at its start because its settings file is being written at that moment: it must
// wait until the file is complete.
func TestNewWatcherWaitsForAFileThatIsBeingWritten(t *testing.T) {
	for name, first := range map[string]string{
		"empty":             "",
		"cut short":         validFile[:len(validFile)/3],
		"cut inside a line": validFile[:strings.Index(validFile, "internal_ports")+len("internal_ports=7")],
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "boot.conf")
			if err := os.WriteFile(path, []byte(first), 0o600); err != nil {
				t.Fatal(err)
			}
			written := make(chan error, 1)
			time.AfterFunc(writtenAfter, func() {
				whole := path + ".new"
				written <- errors.Join(os.WriteFile(whole, []byte(validFile), 0o600), os.Rename(whole, path))
			})
			w, err := NewWatcher(path, hclog.NewNullLogger())
			if err := <-written; err != nil {
				t.Fatal(err)
			}
			if err != nil || w.Current().NodeName == "" {
				t.Errorf("%v", err)
			}
		})
	}
}

// TestDiffComparesEachField changes each field of the settings separately.
func TestDiffComparesEachField(t *testing.T) {
	base, err := Parse([]byte(validFile), "f")
	if err != nil {
		t.Fatal(err)
	}
	if changes := Diff(base, base); len(changes) != 0 {
		t.Errorf("%v", changes)
	}
	var each func(path string, v reflect.Value)
	changed := *base
	each = func(path string, v reflect.Value) {
		for i := range v.NumField() {
			name, field := path+v.Type().Field(i).Name, v.Field(i)
			if field.Kind() == reflect.Struct {
				each(name+".", field)
				continue
			}
			old := reflect.New(field.Type()).Elem()
			old.Set(field)
			switch field.Kind() {
			case reflect.String:
				field.SetString(field.String() + "x")
			case reflect.Int, reflect.Int64:
				field.SetInt(field.Int() + 1)
			case reflect.Float64:
				field.SetFloat(field.Float() + 1)
			case reflect.Bool:
				field.SetBool(!field.Bool())
			case reflect.Slice:
				field.Set(reflect.ValueOf([]string{"other"}))
			case reflect.Map:
				field.Set(reflect.ValueOf(map[string]string{"other": "x"}))
			}
			want := 1
			if name == "FirstStart" {
				want = 0
			}
			if got := Diff(base, &changed); len(got) != want {
				t.Errorf("%s: %v", name, got)
			}
			field.Set(old)
		}
	}
	each("", reflect.ValueOf(&changed).Elem())
}

// TestConcurrentReadersDuringReload reads the settings while the file changes, for the race detector.
func TestConcurrentReadersDuringReload(t *testing.T) {
	w := watch(t)
	ctx, cancel := context.WithCancel(t.Context())
	signals := make(chan os.Signal, 1)
	var workers sync.WaitGroup
	workers.Go(func() { w.Run(ctx, signals) })
	for range 4 {
		workers.Go(func() {
			for ctx.Err() == nil {
				if len(w.Current().Seeds) != 1 {
					t.Error("no seeds")
				}
			}
		})
	}
	applied := make(chan string, 100)
	w.Subscribe(func(s *Settings) { applied <- s.Seeds[0] })
	<-applied
	for _, port := range []string{":8004", ":8005", ":8006"} {
		w.write(strings.Replace(validFile, ":8003", port, 1))
		signals <- os.Interrupt
		for got := ""; got != "10.0.0.7"+port; {
			got = <-applied
		}
	}
	cancel()
	workers.Wait()
}
