package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// builds lists the deploy files with the programs that their builds produce and the directory of these programs.
var builds = []struct {
	file, folder string
	programs     []string
}{
	{"system.toml", "target/", []string{"dunetide"}},
	{"balancer.toml", "bin/", []string{"deliverynode", "simhost"}},
}

// Guards against a build that succeeds only with a developer's Go settings or checkout: it builds without Go's settings file, in a
// checkout that git takes for another user's, and with cgo disabled in the environment.
func TestBuildsWithoutSettingsOfThisMachine(t *testing.T) {
	environments := []struct {
		name      string
		variables []string
	}{
		{"own checkout", nil},
		{"checkout of another user", []string{"GIT_TEST_ASSUME_DIFFERENT_OWNER=1"}},
		{"cgo switched off", []string{"CGO_ENABLED=0"}},
	}
	for _, build := range builds {
		for _, environment := range environments {
			t.Run(build.file+", "+environment.name, func(t *testing.T) {
				root := checkout(t)
				command, _ := deployFile(t, build.file)["build"].(string)
				run(t, root, append(foreignEnvironment(t), environment.variables...), "sh", "-c", command)
				for _, program := range build.programs {
					info, err := os.Stat(filepath.Join(root, build.folder, program))
					if err != nil || info.Mode()&0o111 == 0 {
						t.Errorf("the build produced no program %s%s: %v", build.folder, program, err)
					}
				}
			})
		}
	}
}

// checkout copies the files of the working tree that git tracks, or would track, into a new repository with one commit.
func checkout(t *testing.T) (root string) {
	t.Helper()
	root = t.TempDir()
	tracked := run(t, "..", os.Environ(), "git", "ls-files", "-z", "--cached", "--others", "--exclude-standard", "--", ":!journal")
	for _, name := range strings.Split(strings.TrimRight(tracked, "\x00"), "\x00") {
		content, err := os.ReadFile(filepath.Join("..", name))
		if os.IsNotExist(err) {
			continue // deleted but not committed yet
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := os.MkdirAll(filepath.Join(root, filepath.Dir(name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(root, name), content, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	run(t, root, os.Environ(), "git", "init", "-q")
	run(t, root, os.Environ(), "git", "add", "-A")
	run(t, root, os.Environ(), "git", "-c", "user.name=test", "-c", "user.email=test@example", "commit", "-q", "-m", "checkout")
	return root
}

// foreignEnvironment returns environment variables without any Go settings of this machine, except where modules come from. It keeps
// the module and build caches, so that a test downloads nothing and compiles little.
func foreignEnvironment(t *testing.T) []string {
	t.Helper()
	variables := []string{"GOENV=off", "HOME=" + t.TempDir(), "PATH=" + os.Getenv("PATH")}
	for _, name := range []string{"GOPROXY", "GOSUMDB", "GOMODCACHE", "GOCACHE"} {
		variables = append(variables, name+"="+strings.TrimSpace(run(t, "..", os.Environ(), "go", "env", name)))
	}
	return variables
}

// run runs a program in a directory and returns its output; a failure ends the test.
func run(t *testing.T, folder string, environment []string, name string, arguments ...string) string {
	t.Helper()
	command := exec.Command(name, arguments...)
	command.Dir, command.Env = folder, slices.Clone(environment)
	printed, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%s %s: %v\n%s", name, strings.Join(arguments, " "), err, printed)
	}
	return string(printed)
}
