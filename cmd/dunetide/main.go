// Command dunetide runs the serving tier. Each role is a subcommand that runs until SIGTERM; the
// other subcommands are for operators. deploy/system.toml defines which role runs where;
// docs/architecture.md describes what each role is responsible for.
//
// Each role (proxy.go, keeper.go, store.go) and each operator command (check.go, status.go,
// certify.go, audit.go, version.go) has its own file. process.go contains what the roles share. Exit
// statuses: 0 for success, 1 for a failure, 2 for a usage error.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"
)

// Exit statuses of a command that does not succeed.
const (
	exitFailure = 1
	exitUsage   = 2
)

// errUsage marks usage errors: the process prints one line and exits with exitUsage.
var errUsage = errs.Class("usage")

// cli defines all commands for kong, which passes it to their Run methods.
type cli struct {
	LogLevel string `help:"Minimum level to log: trace, debug, info, warn or error." default:"info" enum:"trace,debug,info,warn,error" env:"DUNETIDE_LOG"`

	Proxy   proxyCmd   `cmd:"" help:"Serve clients: accept requests and batch jobs and send them to endpoints."`
	Keeper  keeperCmd  `cmd:"" help:"Run a control-plane server: configuration, endpoints and membership."`
	Store   storeCmd   `cmd:"" help:"Store batch jobs and distribute their items to proxies."`
	Check   checkCmd   `cmd:"" help:"Check a settings file or a configuration, offline."`
	Status  statusCmd  `cmd:"" help:"Print a keeper's view of the system."`
	Tenants tenantsCmd `cmd:"" help:"Print a keeper's view of the tenants: limits, and which stores count their requests."`
	Certify certifyCmd `cmd:"" help:"Manage the certificates: which endpoints are certified for which regimes, and which routes require one."`
	Audit   auditCmd   `cmd:"" help:"Check the record of regulated runs, offline."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

func main() {
	var c cli
	parser, err := kong.New(&c,
		kong.Name("dunetide"),
		kong.Description("A serving tier: proxies, keepers (control plane) and stores (batch jobs)."),
		kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(os.Stderr, "dunetide:", err)
		os.Exit(exitUsage)
	}
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "dunetide: %v (run dunetide --help for a list of commands)\n", err)
		os.Exit(exitUsage)
	}
	err = ctx.Run(&c)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "dunetide:", err)
	if errUsage.Has(err) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}
