// Package node is a delivery node: it accepts messages from clients, stores them in the journal, asks the decision module
// (dunetide/policy) what to do with them, and carries that out over sockets. cmd/deliverynode runs it; docs/delivery-node.md describes it.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/vfs"
)

const (
	// Times since the stop signal. New connections may arrive for up to 0.4 s after it, and the process is killed
	// after 3.7 s at the earliest: messages are accepted and sent until stopTaking, and calls in flight then have
	// until stopWaiting.
	stopTaking  = 2200 * time.Millisecond
	stopWaiting = 3300 * time.Millisecond
	// requestTimeout is for reading a request, header and body together: a legitimate one may arrive in pieces over
	// more than 2 s, while a client that sends garbage or nothing must get an error or a close within 3 s of connecting.
	requestTimeout = 2800 * time.Millisecond
	answerTimeout  = 10 * time.Second
	// keepAlive is short because anyone may connect, and an idle connection occupies one of the clients' limited connections.
	keepAlive = 2 * time.Second
	maxHeader = 16 << 10
	// clientShare is the share of the sockets that clients' connections may use.
	clientShare = 0.6
	eventQueue  = 4096
	// lockTimeout is how long a start waits for the lock on its state folder: a process that inspects the folder
	// holds the lock briefly.
	lockTimeout = 300 * time.Millisecond
)

// Run serves until the context ends and then stops gracefully. At a hangup it re-reads the address of discovery
// from its configuration file.
func Run(ctx context.Context, c Config, hangups <-chan os.Signal, log *slog.Logger) error {
	if err := c.checkCopies(); err != nil {
		return err
	}
	copyLimit := c.copyLimit()
	if err := c.shareDisk(copyLimit); err != nil {
		return err
	}
	var pg *processGroup
	if c.Members > 0 {
		var err error
		if pg, err = joinGroup(ctx, &c, log); err != nil {
			return err
		}
	}
	c.limitMemory(1)
	// The goroutines below run until the node has stopped, not until the stop signal.
	processCtx, end := context.WithCancel(context.Background())
	defer end()
	owned, retire := context.WithCancel(processCtx)
	defer retire()
	calls, abandon := context.WithCancel(processCtx)
	defer abandon()
	p := &process{config: c, log: log, processes: pg, ctx: processCtx, owned: owned, calls: calls, retire: retire, abandon: abandon,
		served: make(chan error, 1)}
	if pg != nil {
		p.running.Go(func() { pg.run(processCtx) })
		defer func() {
			end()
			p.running.Wait()
			if err := pg.close(); err != nil {
				log.Warn("group: leaving failed", "err", err)
			}
		}()
	}
	if err := p.startConsole(ctx); err != nil {
		return err
	}
	var err error
	if p.inherited, p.listener, err = begin(ctx, c, pg, log); err != nil {
		return err
	}
	defer p.inherited.unlock()
	if err := p.build(copyLimit); err != nil {
		return p.abortStart(err)
	}
	if p.copies != nil {
		defer p.closeCopies()
	}
	p.restore()
	draining := make(chan struct{})
	p.start(draining, hangups)
	server := p.serve()
	err = p.wait(ctx)
	if err == nil {
		p.loop.stop(server, draining, func() { p.opsConsole.ready.Store(false) })
	}
	end()
	return p.finish(err)
}

// shareDisk divides the disk between the copies of other nodes' logs, the fleet, and the journal, which gets the rest.
func (c *Config) shareDisk(copyLimit int64) error {
	if c.Copies > 0 {
		c.DiskBytes = copyLimit + c.fleetDiskSpace()
	}
	if c.DiskBytes -= c.fleetDiskSpace(); c.DiskBytes < journal.MinDisk {
		return fmt.Errorf("limits.disk_mb leaves %d bytes besides the fleet's %d, less than a journal needs", c.DiskBytes, c.fleetDiskSpace())
	}
	return nil
}

// begin opens the journal and the clients' listener. Where the platform passes a listener, another process may still
// own the journal, and this one waits for it or takes over from that process.
func begin(ctx context.Context, c Config, pg *processGroup, log *slog.Logger) (*inheritedState, net.Listener, error) {
	if pg != nil {
		return pg.begin(ctx)
	}
	switch pending, err := pendingInGroup(c.State, c.DiskBytes); {
	case err != nil:
		return nil, nil, fmt.Errorf("reading the journals of a process group in %s: %w", c.State, err)
	case pending > 0:
		return nil, nil, fmt.Errorf("%s holds %d messages of a group: start with -group until they have ended", c.State, pending)
	}
	if c.AcceptFD > 0 {
		listener, err := inheritedListener(c.AcceptFD)
		if err != nil {
			return nil, nil, err
		}
		e, err := acquire(ctx, c, log)
		if err != nil {
			return nil, nil, errors.Join(err, listener.Close())
		}
		return e, listener, nil
	}
	var soleLock *os.File
	for end := time.Now().Add(lockTimeout); ; time.Sleep(ownerPollInterval) {
		var err error
		if soleLock, err = vfs.Lock(c.State); err != nil {
			return nil, nil, err
		}
		if soleLock != nil {
			break
		}
		if time.Now().After(end) {
			return nil, nil, fmt.Errorf("%s is in use by another process", c.State)
		}
	}
	j, pending, err := journal.Open(c.journal(log))
	if err != nil {
		return nil, nil, errors.Join(err, soleLock.Close())
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("listening for clients: %w", err), j.Close(), soleLock.Close())
	}
	return &inheritedState{journal: j, pending: pending, soleLock: soleLock}, listener, nil
}

// journal returns the options of the journal.
func (c Config) journal(log *slog.Logger) journal.Options {
	return journal.Options{Folder: vfs.Dir(c.State), Limit: c.DiskBytes, Sync: c.Sync, Log: log}
}

// limitMemory limits the heap to 60 % of the memory limit, divided by the number of processes that share it.
func (c Config) limitMemory(processes int) {
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10 / int64(processes))
	}
}

// maxClientConns returns how many connections clients may have.
func maxClientConns(sockets int) int { return max(1, int(clientShare*float64(sockets))) }

func newServer(in *intake, connected *clients, log *slog.Logger) *http.Server {
	return &http.Server{Handler: in, ReadTimeout: requestTimeout,
		WriteTimeout: answerTimeout, IdleTimeout: keepAlive, MaxHeaderBytes: maxHeader,
		ConnState: connected.state,
		ErrorLog:  slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
}

// stop closes the clients' connections first, then those to the endpoints. Messages that have not ended by then stay in
// the journal for the next start. It calls refusing when no more messages are accepted.
func (l *loop) stop(server *http.Server, draining chan<- struct{}, refusing func()) {
	start := time.Now()
	l.log.Info("stopping", "owed", l.intake.count())
	l.intake.close(false)
	if l.processes != nil {
		l.processes.closeClientListeners()
	}
	time.Sleep(stopTaking)
	l.intake.close(true)
	refusing()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(stopWaiting))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		l.log.Warn("stopping: client connections still open", "err", err)
	}
	close(draining)
	<-l.drainStarted
	l.caller.pools.Retire()
	calls := make(chan struct{})
	go func() {
		l.caller.running.Wait()
		close(calls)
	}()
	select {
	case <-calls:
	case <-ctx.Done():
		l.log.Warn("stopping: calls still in flight")
	}
}
