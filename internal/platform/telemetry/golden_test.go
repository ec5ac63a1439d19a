package telemetry_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	_ "dunetide/internal/batch"
	_ "dunetide/internal/control/keeper"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/lab/golden"
	"dunetide/internal/proxy/forward"
)

// checkGoldenLines compares lines, sorted and each once, with those of the golden files NAME.txt and NAME-*.txt together.
// Files that exist don't change: lines that are added later get a file of their own.
func checkGoldenLines(t *testing.T, name string, lines []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(golden.Dir, name+"-*.txt"))
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(golden.Read(t, name+".txt")))
	for _, file := range files {
		want = append(want, strings.Fields(string(golden.Read(t, filepath.Base(file))))...)
	}
	slices.Sort(want)
	slices.Sort(lines)
	if lines = slices.Compact(lines); !slices.Equal(lines, want) {
		t.Errorf("%s: has\n%q\nthe golden files have\n%q", name, lines, want)
	}
}

// The series that each role exposes from its start on stay, with their labels and the values of these.
func TestGoldenSeries(t *testing.T) {
	forward.New(forward.Options{Snapshots: &snapshot.Latest{}}).Observe()
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	var series []string
	for line := range strings.Lines(text.String()) {
		if at := strings.LastIndexByte(line, ' '); at > 0 && strings.HasPrefix(line, "dunetide_") {
			series = append(series, line[:at])
		}
	}
	checkGoldenLines(t, "series", series)
}

// The names of all metrics stay, also of those that appear with the first call that they count.
func TestGoldenNamesInTheSources(t *testing.T) {
	root := moduleRoot(t)
	metricName := regexp.MustCompile(`^dunetide_(proxy|keeper|store|invariant)_[a-z_]+$`)
	var names []string
	for _, folder := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
					if value, err := strconv.Unquote(literal.Value); err == nil && metricName.MatchString(value) {
						names = append(names, value)
					}
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	checkGoldenLines(t, "names", names)
}

// moduleRoot is the folder of go.mod.
func moduleRoot(t *testing.T) string {
	t.Helper()
	folder, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder
		}
		parent := filepath.Dir(folder)
		if parent == folder {
			t.Fatal("no go.mod above the test")
		}
		folder = parent
	}
}
