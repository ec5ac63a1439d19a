// Command dunetide is the serving tier: each role of it is a subcommand that runs until SIGTERM,
// and operators have commands beside them. deploy/system.toml says which role runs where,
// docs/architecture.md what each owns.
//
// One file holds one role (proxy.go, keeper.go, store.go) or one operators' command (check.go,
// status.go, certify.go, audit.go, version.go). process.go is what the roles share. Exit statuses:
// 0, 1 for a failure, 2 for a wrong use.
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

// errUsage is a wrong use: the process ends with one line and exitUsage.
var errUsage = errs.Class("usage")

// cli has all commands, for kong. Its commands' Run methods get it as their argument.
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
	parser, err := kong.New(&c,
		kong.Name("dunetide"),
		kong.Description("A serving tier: proxies, keepers of control state, stores of batch jobs."),
		kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(os.Stderr, "dunetide:", err)
		os.Exit(exitUsage)
	}
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "dunetide: %v (dunetide --help tells of all commands)\n", err)
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
