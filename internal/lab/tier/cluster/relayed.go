package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strings"

	"dunetide/internal/lab/faults"
	"dunetide/internal/lab/faults/hubdial"
	"dunetide/internal/lab/overlay"
)

const (
	programPackage = "dunetide/cmd/dunetide"
	linkFile       = "internal/platform/link/link.go"
	relaySeed      = 1 // has no effect, because cuts, the only faults used, draw no random numbers
)

// relayedLines are the lines of linkFile that are replaced in a program that dials through a hub.
var relayedLines = []overlay.Replacement{
	{
		Name: "dials through a hub",
		File: linkFile,
		Old:  `nc, err := d.DialContext(ctx, "tcp4", addr)`,
		New:  `nc, err := hubdial.Dial(ctx, d, addr)`,
	},
	{
		Name: "imports hubdial",
		File: linkFile,
		Old:  "\nimport (\n",
		New:  "\nimport (\n\t\"dunetide/internal/lab/faults/hubdial\"\n",
	},
}

// BuildRelayed builds the dunetide command with the line that dials links replaced, so that it dials through the hub of a
// relayed cluster. Further lines can be replaced to build a mutant; their file names are relative to the module's root. The
// source files are not changed.
func BuildRelayed(ctx context.Context, program string, further ...overlay.Replacement) error {
	root, err := moduleRoot(ctx)
	if err != nil {
		return err
	}
	texts := overlay.Texts{}
	for _, r := range slices.Concat(relayedLines, further) {
		if err := texts.Replace(root, r); err != nil {
			return err
		}
	}
	dir, err := os.MkdirTemp("", "relayed")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // temporary files of the finished build
	list, err := texts.Write(dir)
	if err != nil {
		return err
	}
	build := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-overlay", list, "-o", program, programPackage)
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("building %s: %w\n%s", programPackage, err, out)
	}
	return nil
}

// moduleRoot returns the root directory of the module that contains programPackage.
func moduleRoot(ctx context.Context) (string, error) {
	found, err := exec.CommandContext(ctx, "go", "list", "-f", "{{.Module.Dir}}", programPackage).Output()
	if err != nil {
		return "", fmt.Errorf("finding the module of %s: %w", programPackage, err)
	}
	return strings.TrimSpace(string(found)), nil
}

// relay opens the hub if the cluster is relayed.
func (c *Cluster) relay() error {
	if !c.options.Relayed {
		return nil
	}
	var nodes []netip.Addr
	known := map[string]bool{}
	for _, p := range c.procs {
		if known[p.ip] {
			continue
		}
		known[p.ip] = true
		node, err := netip.ParseAddr(p.ip)
		if err != nil {
			return err
		}
		nodes = append(nodes, node)
	}
	hub, err := faults.NewHub(nodes, relaySeed)
	if err != nil {
		return err
	}
	c.hub = hub
	for _, p := range c.procs {
		for _, port := range []int{portFront, portReady, portControl} {
			if _, err := hub.Entry(p.at(port)); err != nil {
				return errors.Join(err, hub.Close())
			}
		}
	}
	return nil
}

// reached returns the address at which the lab reaches a port of the process.
func (p *Process) reached(port int) string {
	if p.cluster.hub == nil {
		return p.at(port)
	}
	entry, err := p.cluster.hub.Entry(p.at(port))
	if err != nil {
		return p.at(port) // the hub and the cluster are closed
	}
	return entry
}

// relayedEnvironment returns the environment variables that make a process dial through the hub.
func (p *Process) relayedEnvironment() []string {
	if p.cluster.hub == nil {
		return nil
	}
	return []string{hubdial.HubVariable + "=" + p.cluster.hub.Address(), hubdial.NodeVariable + "=" + p.ip}
}

var errNotRelayed = errors.New("the cluster is not relayed")

// CutOff blocks all traffic between the machine of a process and all other machines and the lab until Heal. Connections stay
// open. Membership datagrams and calls of endpoints still pass; they carry nothing that the control plane agrees on.
func (c *Cluster) CutOff(p *Process) error {
	if c.hub == nil {
		return errNotRelayed
	}
	node, err := netip.ParseAddr(p.ip)
	if err != nil {
		return err
	}
	return c.hub.CutOff(node)
}

// Separate blocks all traffic from some machines to others, and the reverse unless oneWay, until the returned function is
// called. Membership datagrams still pass.
func (c *Cluster) Separate(from, to []string, oneWay bool) (heal func(), err error) {
	if c.hub == nil {
		return nil, errNotRelayed
	}
	return c.hub.Separate(from, to, oneWay)
}

// Heal ends all cuts. Traffic that was blocked is delivered late.
func (c *Cluster) Heal() error {
	if c.hub == nil {
		return errNotRelayed
	}
	c.hub.Heal()
	return nil
}
