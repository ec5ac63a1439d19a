package internal

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// layers say which packages of this module the sources of a folder may import, beside those of the folder itself: each by the
// beginning of its path below internal/. docs/architecture.md has the reasons.
var layers = []struct {
	folder string
	may    []string
}{
	// What the tier and the delivery node both use depends on nothing above it.
	{"platform", nil},
	{"consensus", []string{"platform"}},
	{"control", []string{"consensus", "platform"}},
	{"batch", []string{"consensus", "control", "platform"}},
	{"proxy", []string{"batch", "consensus", "control", "platform"}},
	// The delivery node shares the platform with the tier, and nothing else.
	{"deliverynode", []string{"platform"}},
}

// exceptions are imports against the layers, from a folder of sources to a package. None may be added; one that is no longer
// needed is taken off.
var exceptions = map[[2]string]bool{
	// The keeper assigns the partitions of the batch jobs to stores, and reads what stores report of them.
	{"control/keeper", "batch"}: true,
}

const modulePrefix = "dunetide/internal/"

// Sources of the tier import nothing of the delivery node, and neither of them imports the lab, which is for tests.
func TestSourcesImportOnlyWhatTheirLayerMay(t *testing.T) {
	used := map[[2]string]bool{}
	for _, layer := range layers {
		for folder, imports := range importsBelow(t, layer.folder) {
			for _, path := range imports {
				name, internal := strings.CutPrefix(path, modulePrefix)
				if !internal || allowed(name, append(layer.may, layer.folder)) {
					continue
				}
				exception := [2]string{folder, name}
				used[exception] = true
				if !exceptions[exception] {
					t.Errorf("internal/%s imports internal/%s", folder, name)
				}
			}
		}
	}
	for exception := range exceptions {
		if !used[exception] {
			t.Errorf("internal/%s no longer imports internal/%s: it is to be taken off the exceptions", exception[0], exception[1])
		}
	}
}

// The programs that are in service import nothing of the lab.
func TestProgramsDoNotImportTheLab(t *testing.T) {
	for _, program := range []string{"dunetide", "deliverynode", "simhost"} {
		for folder, imports := range importsBelow(t, filepath.Join("..", "cmd", program)) {
			for _, path := range imports {
				if strings.HasPrefix(path, modulePrefix+"lab") {
					t.Errorf("%s imports %s", folder, path)
				}
			}
		}
	}
}

// Every folder below internal/ has its layer, so that a new one is placed on purpose.
func TestEachFolderHasItsLayer(t *testing.T) {
	entries, err := filepath.Glob("*")
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{"lab": true} // it may import all
	for _, layer := range layers {
		known[layer.folder] = true
	}
	for _, entry := range entries {
		if filepath.Ext(entry) == "" && !known[entry] {
			t.Errorf("internal/%s has no layer", entry)
		}
	}
	if len(entries) < len(layers) {
		t.Errorf("%d entries", len(entries))
	}
}

// allowed reports whether a package lies in one of some folders.
func allowed(name string, folders []string) bool {
	for _, folder := range folders {
		if name == folder || strings.HasPrefix(name, folder+"/") {
			return true
		}
	}
	return false
}

// importsBelow returns what the sources in a folder and below it import, without those of tests, by folder.
func importsBelow(t *testing.T, root string) map[string][]string {
	t.Helper()
	all := map[string][]string{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && d.Name() == "testdata" {
			return filepath.SkipDir
		}
		if filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") || isTestSupport(path) {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, imported := range file.Imports {
			name, err := strconv.Unquote(imported.Path.Value)
			if err != nil {
				return err
			}
			folder := filepath.ToSlash(filepath.Dir(path))
			all[folder] = append(all[folder], name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(all) == 0 {
		t.Fatalf("no sources below %s", root)
	}
	return all
}

// isTestSupport reports whether a source belongs to a package for tests only, such as vfstest.
func isTestSupport(path string) bool { return strings.HasSuffix(filepath.Dir(path), "test") }
