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

// Ports of the roles' links and datagrams, as offsets from the first internal port.
const (
	keeperPort = 0
	proxyPort  = 1
	storePort  = 2
)

// process holds what all roles share. Its background goroutines run until close.
type process struct {
	startedAt time.Time
	settings  *settings.Settings // as read at the start
	watcher   *settings.Watcher  // for settings that may change
	log       hclog.Logger
	ctx       context.Context  // ends when shutdown is requested
	condition processCondition // what prevents the process from working

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
	// The signals stay caught until the process exits: a second signal does not cut the shutdown short.
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
	p.logLifecycle()
	p.startMetrics(role)
	return p, nil
}

// logLifecycle logs the start of the process with the limits that can end it, and the start of its shutdown. If the line that
// close logs is missing, the process was killed from outside, for example at its memory limit, or panicked; the stack trace of
// a panic is on standard error.
func (p *process) logLifecycle() {
	limits := p.settings.Limits
	p.log.Info("process starts", "pid", os.Getpid(), "first_start", p.settings.FirstStart,
		"memory_mb", limits.MemoryMB, "open_files", limits.OpenFiles, "disk_mb", limits.DiskMB)
	context.AfterFunc(p.ctx, func() { p.log.Info("shutdown begins: signal received or process failed") })
}

// close stops the background goroutines and waits for them.
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

// setMemoryLimit sets the memory limit of the Go runtime below that of the process, to leave
// headroom for memory that the garbage collector has not freed yet.
func setMemoryLimit(s *settings.Settings) {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.Limits.MemoryMB) << 20 * 7 / 10)
	}
}

// internalAddr returns the address of a role's links and datagrams on this machine.
func (p *process) internalAddr(port int) string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.FirstInternalPort+port))
}

// listen listens at an address of this machine.
func (p *process) listen(addr string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(p.background, "tcp4", addr)
}

// seedLinks returns the link addresses of the keepers that the settings list as seeds.
func seedLinks(s *settings.Settings) []string {
	return controlclient.SeedLinkAddrs(s.Seeds, s.FirstInternalPort+keeperPort)
}

// dataFolder returns the folder in which the role stores its data.
func (p *process) dataFolder() vfs.Folder { return vfs.Dir(p.settings.DataDir) }
