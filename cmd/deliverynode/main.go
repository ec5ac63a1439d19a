// Command deliverynode runs a delivery node.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/deliverynode/group"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/deliverynode/node"
	"dunetide/internal/platform/vfs"
)

const usage = `usage: deliverynode [flags]   runs a delivery node, configured by PROXY_CONFIG and PROXY_STATE
       deliverynode check DIR checks a state folder without changing it;
                              exit 0: sound, 1: damaged, 2: not usable
flags:
`

// maxFileSize is the size in bytes of the largest file that check reads.
const maxFileSize = 64 << 20

// options are the values of the command-line flags.
type options struct {
	warm, sync bool
	group      int
	fleet      string
	copies     int
	copyWait   time.Duration
}

func main() {
	flags := flag.NewFlagSet("deliverynode", flag.ContinueOnError)
	var o options
	flags.BoolVar(&o.warm, "warm", false, "open connections to endpoints in advance, for as many concurrent calls as there were recently;\n"+
		"each costs its endpoint a handshake and a connection slot, for every node with this flag")
	flags.BoolVar(&o.sync, "sync", false, "accept a message, and make a call that may not be repeated, only once its record survives\n"+
		"a power loss; older versions cannot read the folder afterwards")
	flags.IntVar(&o.group, "group", 0, "form one node of up to this many processes, including this one, that are started with\n"+
		"the same environment on the same state folder")
	flags.StringVar(&o.fleet, "fleet", "", "connect to the other delivery nodes that this `file` lists; see docs/fleet.md")
	flags.IntVar(&o.copies, "copies", 0, "replicate accepted messages to this many other nodes of the fleet, and keep replicas for them; see docs/copies.md")
	flags.DurationVar(&o.copyWait, "copy-wait", node.DefaultCopyWait, "how long to wait for the replicas of a client's message before refusing it; keep it below the clients' timeout")
	flags.Usage = func() {
		fmt.Fprint(flags.Output(), usage)
		flags.PrintDefaults()
	}
	switch err := flags.Parse(os.Args[1:]); {
	case errors.Is(err, flag.ErrHelp):
		return
	case err != nil:
		os.Exit(1)
	case flags.NArg() == 2 && flags.Arg(0) == "check" && flags.NFlag() == 0:
		os.Exit(check(flags.Arg(1), os.Stdout))
	case flags.NArg() > 0:
		fmt.Fprintf(os.Stderr, "deliverynode: unexpected argument %q, want flags or 'check DIR'\n", flags.Arg(0))
		os.Exit(1)
	}
	if o.group < 0 || o.group > group.MaxMembers {
		fmt.Fprintf(os.Stderr, "deliverynode: -group %d: it has to be between 1 and %d, or 0 for none\n", o.group, group.MaxMembers)
		os.Exit(1)
	}
	level := slog.LevelInfo
	if debugRequested(os.Getenv) {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	hangups := make(chan os.Signal, 1) // signals that arrive while one is pending are merged into it
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, o, hangups, log); err != nil {
		fmt.Fprintf(os.Stderr, "deliverynode: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options, hangups <-chan os.Signal, log *slog.Logger) error {
	c, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	c.Warm, c.Sync, c.Members = o.warm, o.sync, o.group
	if o.fleet != "" {
		f, err := fleet.ReadFile(o.fleet, c.Name)
		if err != nil {
			return err
		}
		c.Fleet = &f
	}
	c.Copies, c.CopyWait = o.copies, o.copyWait
	return node.Run(ctx, c, hangups, log)
}

// debugRequested reports whether each failed call is to be logged. WINGMOUNT_DEBUG is the former name of the variable; it will
// be removed together with cmd/wingmount.
func debugRequested(getenv func(string) string) bool {
	return getenv("DELIVERYNODE_DEBUG") != "" || getenv("WINGMOUNT_DEBUG") != ""
}

// check prints a report on a state folder and returns the exit status.
func check(dir string, out io.Writer) int {
	lock, err := vfs.Lock(dir)
	if err != nil {
		fmt.Fprintf(out, "not usable: %v\n", err)
		return 2
	}
	if lock == nil {
		fmt.Fprintln(out, "in use by a running node: what is being written meanwhile may look torn")
	} else {
		_ = lock.Close() // a node may start meanwhile
	}
	report, err := journal.Check(vfs.Dir(dir), maxFileSize)
	if err != nil {
		fmt.Fprintf(out, "not usable: %v\n", err)
		return 2
	}
	if err := report.Write(out); err != nil {
		return 2
	}
	status := 0
	if report.Damaged() {
		fmt.Fprintln(out, "damaged")
		status = 1
	} else {
		fmt.Fprintln(out, "sound")
	}
	for _, member := range node.MemberFolders(dir) {
		fmt.Fprintf(out, "%s: ", filepath.Base(member))
		status = max(status, check(member, out))
	}
	return status
}
