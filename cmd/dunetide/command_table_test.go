package main

import (
	"bytes"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// runMainVar makes TestRunsMain run the program itself.
const runMainVar = "DUNETIDE_TEST_RUNS_MAIN"

// TestCommandTable pins the commands of dunetide with their arguments, flags and defaults.
func TestCommandTable(t *testing.T) {
	parser, err := kong.New(new(cli), kong.Name("dunetide"))
	if err != nil {
		t.Fatal(err)
	}
	got := map[string][]string{"": describeFlags(parser.Model.Flags)}
	for _, node := range parser.Model.Leaves(false) {
		got[node.Path()] = append(describePositionals(node.Positional), describeFlags(node.Flags)...)
	}
	want := map[string][]string{
		"":                   {"--help", "--log-level=info (trace,debug,info,warn,error) $DUNETIDE_LOG"},
		"proxy":              nil,
		"keeper":             nil,
		"store":              nil,
		"check settings":     {"<file>"},
		"check config":       {"<file>"},
		"check certificates": {"<file>"},
		"status":             {"<control>"},
		"tenants":            {"<control>", "<name>", "--after"},
		"certify put":        {"<file>", "--control required", "--base"},
		"certify get":        {"--control required"},
		"certify withdraw":   {"<endpoint>", "--control required", "--regime"},
		"audit":              {"<file> ...", "--csv", "--within=2s"},
		"version":            nil,
	}
	for command, arguments := range want {
		if !slices.Equal(got[command], arguments) {
			t.Errorf("command %q has %q, want %q", command, got[command], arguments)
		}
	}
	for command := range got {
		if _, known := want[command]; !known {
			t.Errorf("command %q is not in the table", command)
		}
	}
}

func describePositionals(positionals []*kong.Positional) (all []string) {
	for _, p := range positionals {
		text := "<" + p.Name + ">"
		if p.IsCumulative() {
			text += " ..."
		}
		all = append(all, text)
	}
	return all
}

func describeFlags(flags []*kong.Flag) (all []string) {
	for _, f := range flags {
		text := "--" + f.Name
		if f.HasDefault {
			text += "=" + f.Default
		}
		if f.Enum != "" {
			text += " (" + f.Enum + ")"
		}
		if f.Required {
			text += " required"
		}
		for _, variable := range f.Envs {
			text += " $" + variable
		}
		all = append(all, text)
	}
	return all
}

// TestExitStatuses pins the exit statuses of the commands: 0 for success, 1 for a failure, 2 for a usage error.
func TestExitStatuses(t *testing.T) {
	folder := t.TempDir()
	file := func(name, text string) string {
		t.Helper()
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settingsFile := file("boot.conf", "node_name=n\nip=10.0.0.7\ninternal_ports=7000,7015\n")
	configFile := file("config.json", `{"version":1,"routes":[],"services":[]}`)
	certificatesFile := file("certificates.json", `{"version":1,"routes":[{"name":"a","regime":"b"}]}`)
	broken := file("broken", "x")
	absent := filepath.Join(folder, "absent")
	closed := closedAddress(t)
	for _, c := range []struct {
		status    int
		stderr    string // prefix of standard error
		variables []string
		arguments []string
	}{
		{0, "", nil, []string{"--help"}},
		{0, "", nil, []string{"version"}},
		{0, "", nil, []string{"check", "settings", settingsFile}},
		{0, "", nil, []string{"check", "config", configFile}},
		{0, "", nil, []string{"check", "certificates", certificatesFile}},
		{1, "dunetide: 1 problems in the record of regulated runs", nil, []string{"audit", broken}},
		{1, "", nil, []string{"audit", "--csv", broken}},
		{2, "dunetide: ", nil, nil},
		{2, "dunetide: ", nil, []string{"other"}},
		{2, "dunetide: ", nil, []string{"version", "--other"}},
		{2, "dunetide: ", nil, []string{"version", "--log-level=other"}},
		{2, "dunetide: usage: ", nil, []string{"check", "settings", broken}},
		{2, "dunetide: usage: ", nil, []string{"check", "settings", absent}},
		{2, "dunetide: usage: ", nil, []string{"check", "config", broken}},
		{2, "dunetide: usage: ", nil, []string{"check", "config", absent}},
		{2, "dunetide: usage: ", nil, []string{"check", "certificates", broken}},
		{2, "dunetide: usage: ", nil, []string{"check", "certificates", absent}},
		{2, "dunetide: usage: DUNETIDE_CONFIG is not set", nil, []string{"proxy"}},
		{2, "dunetide: usage: DUNETIDE_CONFIG is not set", nil, []string{"keeper"}},
		{2, "dunetide: usage: DUNETIDE_CONFIG is not set", nil, []string{"store"}},
		{2, "dunetide: usage: settings: ", []string{"DUNETIDE_CONFIG=" + broken}, []string{"proxy"}},
		{2, "dunetide: usage: settings: ", []string{"DUNETIDE_CONFIG=" + broken}, []string{"keeper"}},
		{2, "dunetide: usage: settings: ", []string{"DUNETIDE_CONFIG=" + absent}, []string{"store"}},
		{1, "dunetide: no keeper answers at ", nil, []string{"status", closed}},
		{1, "dunetide: ", nil, []string{"certify", "get", "--control", closed}},
		{2, "dunetide: ", nil, []string{"certify", "get"}},
		{2, "dunetide: usage: ", nil, []string{"certify", "put", "--control", closed, broken}},
		{1, "dunetide: ", nil, []string{"certify", "withdraw", "--control", closed, "endpoint"}},
		{2, "dunetide: ", nil, []string{"audit", absent}},
	} {
		t.Run(strings.ReplaceAll(strings.Join(c.arguments, " "), folder, ""), func(t *testing.T) {
			status, stderr := runMain(t, c.variables, c.arguments)
			if status != c.status {
				t.Errorf("status %d, want %d: %s", status, c.status, stderr)
			}
			if !strings.HasPrefix(stderr, c.stderr) {
				t.Errorf("standard error is %q, want it to begin with %q", stderr, c.stderr)
			}
		})
	}
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// runMain runs the program in a child process, without the variables of the test's environment that it reads.
func runMain(t *testing.T, variables, arguments []string) (status int, stderr string) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0], append([]string{"-test.run=^TestRunsMain$", "--"}, arguments...)...)
	cmd.Env = slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, "DUNETIDE_") })
	cmd.Env = append(append(cmd.Env, runMainVar+"=1"), variables...)
	var output bytes.Buffer
	cmd.Stderr = &output
	err := cmd.Run()
	if failed := new(exec.ExitError); errors.As(err, &failed) {
		return failed.ExitCode(), output.String()
	}
	if err != nil {
		t.Fatal(err)
	}
	return 0, output.String()
}

// TestRunsMain is not a test: it runs the program when started by runMain.
func TestRunsMain(*testing.T) {
	if os.Getenv(runMainVar) == "" {
		return
	}
	os.Args = append([]string{"dunetide"}, os.Args[slices.Index(os.Args, "--")+1:]...)
	main()
}
