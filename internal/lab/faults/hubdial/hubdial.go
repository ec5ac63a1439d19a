// Package hubdial dials through a hub of relays (faults.Hub) instead of dialling directly. It is linked only into programs under
// test, so it depends on no other package of the lab.
package hubdial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"
)

// Environment variables of a process that dials through a hub.
const (
	// HubVariable holds the hub's address; if it is empty, connections are direct.
	HubVariable = "DUNETIDE_LAB_HUB"
	// NodeVariable holds the IP address of the process's own machine.
	NodeVariable = "DUNETIDE_LAB_NODE"
)

// Connected is the byte that a hub answers with once it has connected to the target.
const Connected = 1

// Request returns the line with which the process at address from asks a hub for a connection to a target.
func Request(from, target string) string { return from + " " + target + "\n" }

// Dial connects to a target through the hub that the environment names.
func Dial(ctx context.Context, dialer net.Dialer, target string) (net.Conn, error) {
	hub := os.Getenv(HubVariable)
	if hub == "" {
		return dialer.DialContext(ctx, "tcp4", target)
	}
	conn, err := dialer.DialContext(ctx, "tcp4", hub)
	if err != nil {
		return nil, err
	}
	if err := ask(ctx, conn, Request(os.Getenv(NodeVariable), target)); err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", target, errors.Join(err, conn.Close()))
	}
	return conn, nil
}

// ask sends a request and waits for its answer or for the end of the context.
func ask(ctx context.Context, conn net.Conn, request string) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	if err := ReadAnswer(conn); err != nil {
		return err
	}
	if !stop() {
		return ctx.Err()
	}
	return nil
}

// ReadAnswer waits until the hub has connected the target.
func ReadAnswer(conn net.Conn) error {
	var answer [1]byte
	if _, err := conn.Read(answer[:]); err != nil {
		return err
	}
	if answer[0] != Connected {
		return fmt.Errorf("hub answered %d instead of connecting", answer[0])
	}
	return nil
}
