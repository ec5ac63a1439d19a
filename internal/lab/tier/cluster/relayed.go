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
	relaySeed      = 1 // nothing is drawn where the only fault is a cut
)

// relayedLines are the lines of linkFile that are others in a program that dials through a hub.
var relayedLines = []overlay.Replacement{
	{
		Name: "dialled through a hub",
		File: linkFile,
		Old:  `nc, err := d.DialContext(ctx, "tcp4", addr)`,
		New:  `nc, err := hubdial.Dial(ctx, d, addr)`,
	},
	{
		Name: "the package that does so",
		File: linkFile,
		Old:  "\nimport (\n",
		New:  "\nimport (\n\t\"dunetide/internal/lab/faults/hubdial\"\n",
	},
}

// BuildRelayed builds the command as it is, but for the one line that dials links: it dials through the hub of a
// cluster that is relayed. Further lines may be replaced, to build a mutant; their files
// count from the module's root. Nothing in the source folder is changed.
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
	defer func() { _ = os.RemoveAll(dir) }() // the temporary files of a build that has ended
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

// moduleRoot returns the folder of the module that the go command finds here.
func moduleRoot(ctx context.Context) (string, error) {
	found, err := exec.CommandContext(ctx, "go", "list", "-f", "{{.Module.Dir}}", programPackage).Output()
	if err != nil {
		return "", fmt.Errorf("finding the module of %s: %w", programPackage, err)
	}
	return strings.TrimSpace(string(found)), nil
}

// relay opens the hub, if there is to be one.
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

// reached is where the lab reaches a port of a process.
func (p *Process) reached(port int) string {
	if p.cluster.hub == nil {
		return p.at(port)
	}
	entry, err := p.cluster.hub.Entry(p.at(port))
	if err != nil {
		return p.at(port) // the hub is closed, and the cluster with it
	}
	return entry
}

// relayedEnvironment gives a process the address that it dials through.
func (p *Process) relayedEnvironment() []string {
	if p.cluster.hub == nil {
		return nil
	}
	return []string{hubdial.HubVariable + "=" + p.cluster.hub.Address(), hubdial.NodeVariable + "=" + p.ip}
}

var errNotRelayed = errors.New("the cluster is not relayed")

// CutOff has nothing pass between the machine of a process and all others, and the lab, until Heal. No connection
// ends by it. Datagrams of membership and calls of endpoints are not held up: they carry nothing that is agreed.
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

// Separate has nothing pass from the machines of some addresses to those of others, and back too unless it is one
// way, until what it returns is called. Datagrams of membership are not held up.
func (c *Cluster) Separate(from, to []string, oneWay bool) (heal func(), err error) {
	if c.hub == nil {
		return nil, errNotRelayed
	}
	return c.hub.Separate(from, to, oneWay)
}

// Heal ends all cuts. What was held up comes late.
func (c *Cluster) Heal() error {
	if c.hub == nil {
		return errNotRelayed
	}
	c.hub.Heal()
	return nil
}
