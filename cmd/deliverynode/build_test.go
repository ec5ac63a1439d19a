package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The platform of the large fleet preloads a library into the node, which requires a program that is dynamically linked
// against the C library. It also tracks a single process, so the run command must exec the node.
func TestDeployedNodeIsDynamic(t *testing.T) {
	const root = "../.."
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	must(t, err)
	keys := map[string]string{}
	for _, m := range regexp.MustCompile(`(?m)^(\w+) = "(.*)"`).FindAllStringSubmatch(string(text), -1) {
		keys[m[1]] = m[2]
	}
	if run := keys["run"]; run != "exec bin/deliverynode" {
		t.Errorf("run is %q, want an exec of the node", run)
	}
	out := t.TempDir() + "/"
	build := exec.Command("sh", "-c", strings.ReplaceAll(keys["build"], "-o bin/", "-o "+out))
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", keys["build"], err, output)
	}
	f, err := elf.Open(out + "deliverynode")
	must(t, err)
	defer func() { _ = f.Close() }() // it was only read
	libraries, err := f.ImportedLibraries()
	must(t, err)
	if !slices.Contains(libraries, "libc.so.6") {
		t.Errorf("the node needs the libraries %q, want the C library among them", libraries)
	}
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the node has no dynamic linker (PT_INTERP)")
	}
}
