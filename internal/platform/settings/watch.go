package settings

import (
	"bytes"
	"context"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// pollInterval is the time between two reads of the file if no signal arrives.
	pollInterval = 2 * time.Second
	// startWait is how long a starting process waits for a valid file.
	startWait = time.Second
	// startRetryInterval is the time between two attempts to read the file at the start.
	startRetryInterval = 20 * time.Millisecond
)

// Watcher holds the settings in force in a running process, and applies changes of the file as far as they are
// Reloadable. It is safe for concurrent use. Settings that it has returned are immutable.
type Watcher struct {
	path string
	log  hclog.Logger

	mu               sync.Mutex
	inForce          *Settings
	text             []byte // content of the file when it was last read; nil: it could not be read
	loggedProblem    string // last logged problem; empty: the file was valid
	loggedForRestart string // fields that were last logged as needing a restart
	subscribers      map[int]func(*Settings)
	nextSubscriber   int // key of the next subscriber in subscribers
}

// NewWatcher reads the file at the start of a process. A file that is missing or invalid may still be being written:
// NewWatcher retries for startWait. Its errors are of the class Invalid.
func NewWatcher(path string, log hclog.Logger) (*Watcher, error) {
	w := &Watcher{path: path, log: log, subscribers: map[int]func(*Settings){}}
	err := w.readFirst()
	for deadline := time.Now().Add(startWait); err != nil && time.Now().Before(deadline); {
		time.Sleep(startRetryInterval)
		err = w.readFirst()
	}
	if err != nil {
		return nil, err
	}
	return w, nil
}

// readFirst puts the settings of the file in force.
func (w *Watcher) readFirst() (err error) {
	if w.text, err = readFile(w.path); err != nil {
		return err
	}
	w.inForce, err = Parse(w.text, w.path)
	return err
}

// Current returns the settings in force.
func (w *Watcher) Current() *Settings {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inForce
}

// Subscribe calls notify with the settings in force, immediately and after each change, one call at a time. notify
// must not call the Watcher. The returned function ends the subscription.
func (w *Watcher) Subscribe(notify func(*Settings)) (unsubscribe func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := w.nextSubscriber
	w.nextSubscriber++
	w.subscribers[key] = notify
	notify(w.inForce)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.subscribers, key)
	}
}

// Run reads the file after each signal and every pollInterval until the context ends.
func (w *Watcher) Run(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-signals:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		w.Reload()
	}
}

// Reload reads the file once. An invalid file leaves the settings in force unchanged.
func (w *Watcher) Reload() {
	text, err := readFile(w.path)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.text = nil
		w.reject(err)
		return
	}
	if w.text != nil && bytes.Equal(text, w.text) {
		return
	}
	w.text = text
	newer, err := Parse(text, w.path)
	if err != nil {
		w.reject(err)
		return
	}
	w.loggedProblem = ""
	w.apply(newer)
}

// reject logs a problem unless it was the last one logged.
func (w *Watcher) reject(err error) {
	if problem := strings.ReplaceAll(err.Error(), "\n", "; "); problem != w.loggedProblem {
		w.loggedProblem = problem
		w.log.Error("settings file rejected, the previous settings stay in force: correct the file", "err", problem)
	}
}

// apply puts the Reloadable fields of a valid file in force.
func (w *Watcher) apply(newer *Settings) {
	var reloadable, needRestart []string
	for _, change := range Diff(w.inForce, newer) {
		if change.Effect == Reloadable {
			reloadable = append(reloadable, change.Field)
		} else {
			needRestart = append(needRestart, change.Field)
		}
	}
	w.logForRestart(strings.Join(needRestart, ","))
	if len(reloadable) == 0 {
		return
	}
	w.inForce = applyReloadable(w.inForce, newer)
	w.log.Info("settings taken over", "fields", strings.Join(reloadable, ","))
	for _, notify := range w.subscribers {
		notify(w.inForce)
	}
}

// logForRestart logs the fields that need a restart unless the same fields were logged last.
func (w *Watcher) logForRestart(fields string) {
	if fields == w.loggedForRestart {
		return
	}
	w.loggedForRestart = fields
	if fields != "" {
		w.log.Warn("changed settings take effect only at the next start: restart the process", "fields", fields)
	}
}
