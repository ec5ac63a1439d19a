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

// pollEvery is how often the file is read without a signal.
const pollEvery = 2 * time.Second

// Watcher holds the settings in force in a running process, and takes over what a changed file allows. It is safe for
// concurrent use; Settings that it has handed out are not changed any more.
type Watcher struct {
	path string
	log  hclog.Logger

	mu          sync.Mutex
	inForce     *Settings
	text        []byte // of the file, as it was looked at last; nil: it could not be read
	problem     string // that was logged last; empty: the file was sound
	waiting     string // fields that were logged last as needing a restart
	subscribers map[int]func(*Settings)
	subscribed  int // so many times: the next subscriber's number
}

// NewWatcher reads the file for the start of a process.
func NewWatcher(path string, log hclog.Logger) (*Watcher, error) {
	text, err := read(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(text, path)
	if err != nil {
		return nil, err
	}
	return &Watcher{path: path, log: log, inForce: s, text: text, subscribers: map[int]func(*Settings){}}, nil
}

// Current returns the settings in force.
func (w *Watcher) Current() *Settings {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inForce
}

// Subscribe has f called with the settings in force, at once and after each change, one call at a time. f must not call
// the Watcher. The function that is returned ends it.
func (w *Watcher) Subscribe(f func(*Settings)) (unsubscribe func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	number := w.subscribed
	w.subscribed++
	w.subscribers[number] = f
	f(w.inForce)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.subscribers, number)
	}
}

// Run looks at the file after each signal, and now and then without one, until the context ends.
func (w *Watcher) Run(ctx context.Context, signals <-chan os.Signal) {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		select {
		case <-signals:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		w.Reload()
	}
}

// Reload looks at the file once. A file that can't be used leaves the settings in force as they are.
func (w *Watcher) Reload() {
	text, err := read(w.path)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.text = nil
		w.refuse(err)
		return
	}
	if w.text != nil && bytes.Equal(text, w.text) {
		return
	}
	w.text = text
	newer, err := Parse(text, w.path)
	if err != nil {
		w.refuse(err)
		return
	}
	w.problem = ""
	w.take(newer)
}

// refuse logs a problem unless it was logged last.
func (w *Watcher) refuse(err error) {
	if problem := strings.ReplaceAll(err.Error(), "\n", "; "); problem != w.problem {
		w.problem = problem
		w.log.Error("settings file not taken over, the settings before stay in force: mend the file", "err", problem)
	}
}

// take puts what a sound file allows in force.
func (w *Watcher) take(newer *Settings) {
	var taken, waiting []string
	for _, change := range Diff(w.inForce, newer) {
		if change.Effect == Reloadable {
			taken = append(taken, change.Field)
		} else {
			waiting = append(waiting, change.Field)
		}
	}
	if fields := strings.Join(waiting, ","); fields != w.waiting {
		w.waiting = fields
		if fields != "" {
			w.log.Warn("settings changed that a running process keeps as they were: restart the process", "fields", fields)
		}
	}
	if len(taken) == 0 {
		return
	}
	w.inForce = takeOver(w.inForce, newer)
	w.log.Info("settings taken over", "fields", strings.Join(taken, ","))
	for _, f := range w.subscribers {
		f(w.inForce)
	}
}

// read reads the file; its error names the remedy.
func read(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Invalid.New("%w; DUNETIDE_CONFIG must name the settings file", err)
	}
	return text, nil
}
