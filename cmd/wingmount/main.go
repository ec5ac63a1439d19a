// Command wingmount is one delivery node.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"wingmount/internal/node"
)

func main() {
	warm := flag.Bool("warm", false, "open connections to endpoints ahead, for as many calls at once as there were of late; "+
		"each costs its endpoint a handshake and a place, in every node that does so")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "wingmount: %q is no flag\n", flag.Arg(0))
		os.Exit(1)
	}
	level := slog.LevelInfo
	if os.Getenv("WINGMOUNT_DEBUG") != "" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	hangups := make(chan os.Signal, 1) // one that waits stands for all that come meanwhile
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, *warm, hangups, log); err != nil {
		fmt.Fprintf(os.Stderr, "wingmount: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, warm bool, hangups <-chan os.Signal, log *slog.Logger) error {
	c, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	c.Warm = warm
	return node.Run(ctx, c, hangups, log)
}
