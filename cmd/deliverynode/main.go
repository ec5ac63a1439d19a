// Command deliverynode is one delivery node.
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

const usage = `usage: deliverynode [flags]   a delivery node; PROXY_CONFIG and PROXY_STATE say how and where
       deliverynode check DIR reads a state folder and changes nothing;
                              exit 0: sound, 1: damaged, 2: not usable
flags:
`

// largest is the largest file that check reads.
const largest = 64 << 20

// options are the parts that are switched on.
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
	flags.BoolVar(&o.warm, "warm", false, "open connections to endpoints ahead, for as many calls at once as there were of late;\n"+
		"each costs its endpoint a handshake and a place, in every node that does so")
	flags.BoolVar(&o.sync, "sync", false, "take a message on, and make a call that may not be repeated, only when that outlasts\n"+
		"a loss of power; the folder is then for this version or a newer one")
	flags.IntVar(&o.group, "group", 0, "be one node together with up to so many processes, this one counted, that are started\n"+
		"with the same environment on the same state folder")
	flags.StringVar(&o.fleet, "fleet", "", "know of the other delivery nodes that this `file` names, and talk to them; docs/fleet.md")
	flags.IntVar(&o.copies, "copies", 0, "have so many other nodes of the fleet keep what this one has taken on, and keep theirs; docs/copies.md")
	flags.DurationVar(&o.copyWait, "copy-wait", node.DefaultCopyWait, "wait so long for the copies of a client's message before it is refused: less than clients wait")
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
		fmt.Fprintf(os.Stderr, "deliverynode: %q is neither a flag nor 'check DIR'\n", flags.Arg(0))
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
	hangups := make(chan os.Signal, 1) // one that waits stands for all that come meanwhile
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

// debugRequested reports whether each failed call is to be logged. WINGMOUNT_DEBUG is the variable's name before the program
// was renamed; it goes with cmd/wingmount.
func debugRequested(getenv func(string) string) bool {
	return getenv("DELIVERYNODE_DEBUG") != "" || getenv("WINGMOUNT_DEBUG") != ""
}

// check tells what is in a state folder; it returns the exit status.
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
	report, err := journal.Check(vfs.Dir(dir), largest)
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
