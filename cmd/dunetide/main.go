// Command dunetide is the serving tier: each role of it is a subcommand. deploy/system.toml says which
// runs where, docs/system.md what each owns.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/invariant"
	"dunetide/internal/platform/reload"
	"dunetide/internal/platform/settings"
)

// settingsVar holds the path of the settings file.
const settingsVar = "DUNETIDE_CONFIG"

// errUsage is a wrong use: the process ends with one line and status 2.
var errUsage = errs.Class("usage")

type cli struct {
	LogLevel string `help:"Least level that is logged: trace, debug, info, warn or error." default:"info" enum:"trace,debug,info,warn,error" env:"DUNETIDE_LOG"`

	Proxy   proxyCmd   `cmd:"" help:"Serve clients: take requests and batch jobs, and send them to endpoints."`
	Keeper  keeperCmd  `cmd:"" help:"Keep control state: the configuration, the endpoints, who is there."`
	Store   storeCmd   `cmd:"" help:"Keep batch jobs and hand their items out."`
	Check   checkCmd   `cmd:"" help:"Check a settings file or a configuration, offline."`
	Status  statusCmd  `cmd:"" help:"Ask a keeper what it knows of the system."`
	Certify certifyCmd `cmd:"" help:"Say which endpoints are certified for which regimes, and which routes demand one."`
	Audit   auditCmd   `cmd:"" help:"Check the record of regulated runs, offline."`
	Version versionCmd `cmd:"" help:"Tell the version."`
}

func main() {
	var c cli
	parser, err := kong.New(&c, kong.Name("dunetide"), kong.Description("A serving tier: proxies, keepers of control state, stores of batch jobs."),
		kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(os.Stderr, "dunetide:", err)
		os.Exit(2)
	}
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "dunetide: %v (dunetide --help tells of all commands)\n", err)
		os.Exit(2)
	}
	err = ctx.Run(&c)
	switch {
	case err == nil:
	case errUsage.Has(err):
		fmt.Fprintln(os.Stderr, "dunetide:", err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "dunetide:", err)
		os.Exit(1)
	}
}

// process is what all roles start from.
type process struct {
	settings  *settings.Settings // as they were at the start
	watcher   *settings.Watcher  // for what may change
	log       hclog.Logger
	ctx       context.Context
	condition processCondition // what keeps it from its work
}

// start reads the settings and prepares the runtime. The context ends at SIGTERM or SIGINT.
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
	s := watcher.Current()
	watcher.Subscribe(setMemoryLimit)
	// It goes on while the process drains: a signal then is no reason to end sooner.
	go watcher.Run(context.Background(), reload.Requests())
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE)
	p := &process{settings: s, watcher: watcher, log: log, ctx: ctx}
	p.startMetrics(role)
	return p, nil
}

// limitMemory leaves room below the limit for what the collector has not freed yet.
func setMemoryLimit(s *settings.Settings) {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.Limits.MemoryMB) << 20 * 7 / 10)
	}
}

// seedLinks are the links of the keepers that settings name as seeds.
func seedLinks(s *settings.Settings) []string {
	return controlclient.SeedLinkAddrs(s.Seeds, s.FirstInternalPort+keeperPort)
}

// newLogger writes one line of key=value pairs for each event.
func newLogger(role, level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: role, Level: hclog.LevelFromString(level), Output: os.Stdout,
		TimeFormat: "2006-01-02T15:04:05.000Z", DisableTime: false})
}
