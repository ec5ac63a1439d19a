package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/invariant"
	"dunetide/internal/platform/reload"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs"
)

// settingsVar is the environment variable with the path of the settings file.
const settingsVar = "DUNETIDE_CONFIG"

// Ports of the roles' links and datagrams, counted from the first internal port.
const (
	keeperPort = 0
	proxyPort  = 1
	storePort  = 2
)

// process is what all roles start from. Its background goroutines end with close.
type process struct {
	startedAt time.Time
	settings  *settings.Settings // as they were at the start
	watcher   *settings.Watcher  // for settings that may change
	log       hclog.Logger
	ctx       context.Context  // ends when the process is told to stop
	condition processCondition // what prevents it from working

	background context.Context // ends with close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// start reads the settings and prepares the runtime. The context of the process ends at SIGTERM or
// SIGINT.
func start(c *cli, role string) (*process, error) {
	path := os.Getenv(settingsVar)
	if path == "" {
		return nil, errUsage.New("%s is not set: let it hold the path of the settings file", settingsVar)
	}
	log := newLogger(role, c.LogLevel)
	invariant.SetLogger(log)
	watcher, err := settings.NewWatcher(path, log)
	if err != nil {
		return nil, errUsage.Wrap(err)
	}
	watcher.Subscribe(setMemoryLimit)
	// The signals stay caught to the end: one more of them is no reason to end sooner.
	stopped, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE)
	p := &process{startedAt: time.Now(), settings: watcher.Current(), watcher: watcher, log: log}
	var cancelBackground, cancelProcess context.CancelFunc
	p.background, cancelBackground = context.WithCancel(context.Background())
	p.ctx, cancelProcess = context.WithCancel(stopped)
	p.cancel = func() {
		cancelProcess()
		cancelBackground()
	}
	p.goroutines.Go(func() { watcher.Run(p.background, reload.Requests()) })
	p.logLife()
	p.startMetrics(role)
	return p, nil
}

// logLife logs the start of the process with the limits that can end it, and the first signal to stop. A life without a line
// of its end was ended from outside, as by the limit of memory, or by a panic, whose trace follows on standard error.
func (p *process) logLife() {
	limits := p.settings.Limits
	p.log.Info("process starts", "pid", os.Getpid(), "first_start", p.settings.FirstStart,
		"memory_mb", limits.MemoryMB, "open_files", limits.OpenFiles, "disk_mb", limits.DiskMB)
	context.AfterFunc(p.ctx, func() { p.log.Info("process is told to stop, or has failed") })
}

// close ends the background goroutines and waits for them.
func (p *process) close() {
	p.cancel()
	p.goroutines.Wait()
	p.log.Info("process ends", "after", time.Since(p.startedAt).Round(time.Millisecond))
}

// newLogger returns a logger that writes one line of key=value pairs for each event to standard output.
func newLogger(role, level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:        role,
		Level:       hclog.LevelFromString(level),
		Output:      os.Stdout,
		TimeFormat:  "2006-01-02T15:04:05.000Z",
		DisableTime: false,
	})
}

// setMemoryLimit sets the limit of the Go runtime. It leaves space below the limit of the process
// for what the collector has not freed yet.
func setMemoryLimit(s *settings.Settings) {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.Limits.MemoryMB) << 20 * 7 / 10)
	}
}

// internalAddr returns the address of a role's links and datagrams on this machine.
func (p *process) internalAddr(port int) string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.FirstInternalPort+port))
}

// listen accepts connections at an address of this machine.
func (p *process) listen(addr string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(p.background, "tcp4", addr)
}

// seedLinks returns the link addresses of the keepers that settings name as seeds.
func seedLinks(s *settings.Settings) []string {
	return controlclient.SeedLinkAddrs(s.Seeds, s.FirstInternalPort+keeperPort)
}

// dataFolder returns the folder of what the role stores on disk.
func (p *process) dataFolder() vfs.Folder { return vfs.Dir(p.settings.DataDir) }
