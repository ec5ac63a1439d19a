package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"dunetide/internal/lab/faults"
	"dunetide/internal/lab/faults/hubdial"
)

const (
	programPackage = "dunetide/cmd/dunetide"
	linkPackage    = "dunetide/internal/platform/link"
	linkFile       = "link.go"
	relaySeed      = 1 // nothing is drawn where the only fault is a cut
)

// relayedLines are the lines of linkFile that are others in a program that dials through a hub.
var relayedLines = [][2]string{
	{`nc, err := d.DialContext(ctx, "tcp4", addr)`, `nc, err := hubdial.Dial(ctx, d, addr)`},
	{"\nimport (\n", "\nimport (\n\t\"dunetide/internal/lab/faults/hubdial\"\n"},
}

// Replacement puts other lines in the place of some in a file of the module, named by its path from the module's root.
type Replacement struct{ File, Old, New string }

// BuildRelayed builds the command as it is, but for the one line that dials links: it dials through the hub of a
// cluster that is relayed. Further lines may be replaced, to build a program that does something wrong. Nothing in the source folder
// is changed.
func BuildRelayed(ctx context.Context, program string, further ...Replacement) error {
	found, err := exec.CommandContext(ctx, "go", "list", "-f", "{{.Dir}}", linkPackage).Output()
	if err != nil {
		return fmt.Errorf("finding %s: %w", linkPackage, err)
	}
	source := filepath.Join(strings.TrimSpace(string(found)), linkFile)
	text, err := os.ReadFile(source)
	if err != nil {
		return err
	}
	relayed, err := relayedSource(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", source, err)
	}
	dir, err := os.MkdirTemp("", "relayed")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	replaced := map[string]string{source: relayed}
	if err := replaceFurther(filepath.Dir(filepath.Dir(filepath.Dir(source))), replaced, further); err != nil {
		return err
	}
	overlay, err := writeOverlay(dir, replaced)
	if err != nil {
		return err
	}
	if out, err := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", program, programPackage).CombinedOutput(); err != nil {
		return fmt.Errorf("building %s: %w\n%s", programPackage, err, out)
	}
	return nil
}

// replaceFurther puts replacements into the texts of files, by their paths.
func replaceFurther(root string, texts map[string]string, further []Replacement) error {
	for _, r := range further {
		path := filepath.Join(root, r.File)
		text, there := texts[path]
		if !there {
			read, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			text = string(read)
		}
		if n := strings.Count(text, r.Old); n != 1 {
			return fmt.Errorf("%q stands %d times in %s, not once", r.Old, n, path)
		}
		texts[path] = strings.Replace(text, r.Old, r.New, 1)
	}
	return nil
}

// writeOverlay writes the texts that stand in for files, and the list by which the go command finds them.
func writeOverlay(dir string, texts map[string]string) (overlay string, err error) {
	replace := map[string]string{}
	for path, text := range texts {
		changed := filepath.Join(dir, fmt.Sprintf("%d.go", len(replace)))
		if err := os.WriteFile(changed, []byte(text), 0o600); err != nil {
			return "", err
		}
		replace[path] = changed
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": replace})
	if err != nil {
		return "", err
	}
	overlay = filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, list, 0o600)
}

// relayedSource puts relayedLines into the text of linkFile.
func relayedSource(text string) (string, error) {
	for _, line := range relayedLines {
		if n := strings.Count(text, line[0]); n != 1 {
			return "", fmt.Errorf("%q stands there %d times, not once", line[0], n)
		}
		text = strings.Replace(text, line[0], line[1], 1)
	}
	return text, nil
}

// relay opens the hub, if there is to be one.
func (c *Cluster) relay() error {
	if !c.o.Relayed {
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
	if p.c.hub == nil {
		return p.at(port)
	}
	entry, err := p.c.hub.Entry(p.at(port))
	if err != nil {
		return p.at(port) // the hub is closed, and the cluster with it
	}
	return entry
}

// relayedEnvironment tells a process where it dials.
func (p *Process) relayedEnvironment() []string {
	if p.c.hub == nil {
		return nil
	}
	return []string{hubdial.HubVariable + "=" + p.c.hub.Address(), hubdial.NodeVariable + "=" + p.ip}
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

// Separate has nothing pass from the machines of some addresses to those of others, and back too unless it is one way, until what it
// returns is called. Datagrams of membership are not held up.
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
