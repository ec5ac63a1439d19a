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
	"strconv"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	_ "dunetide/internal/batch"
	_ "dunetide/internal/control/keeper"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/lab/golden"
	"dunetide/internal/proxy/forward"
	_ "dunetide/internal/quota"
)

// The series that each role exposes from its start must not change, including their labels and label values.
func TestGoldenSeries(t *testing.T) {
	forward.New(forward.Options{Snapshots: &snapshot.Latest{}}).RegisterMetrics()
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	var series []string
	for line := range strings.Lines(text.String()) {
		if at := strings.LastIndexByte(line, ' '); at > 0 && strings.HasPrefix(line, "dunetide_") {
			series = append(series, line[:at])
		}
	}
	golden.CompareLines(t, golden.Dir, "series", series)
}

// The names of all metrics must not change, including those that appear only with the first event that they count.
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
	golden.CompareLines(t, golden.Dir, "names", names)
}

// moduleRoot returns the folder of go.mod.
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
