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

// layers lists, for each folder below internal/, the packages of this module that its sources may import besides
// those of the folder itself, each by a prefix of its path below internal/. docs/architecture.md has the reasons.
var layers = []struct {
	folder    string
	mayImport []string
}{
	// The packages that the tier and the delivery node share depend on nothing above them.
	{"platform", nil},
	{"consensus", []string{"platform"}},
	{"control", []string{"consensus", "platform"}},
	{"batch", []string{"consensus", "control", "platform"}},
	{"proxy", []string{"batch", "consensus", "control", "platform", "quota"}},
	// Rates of tenants. Which store leads a partition reaches it through an interface.
	{"quota", []string{"control", "platform"}},
	// The delivery node shares only the platform with the tier.
	{"deliverynode", []string{"platform"}},
}

// exceptions are imports that violate the layers, from a folder of sources to a package. No new ones may be added;
// one that is no longer needed must be removed.
var exceptions = map[[2]string]bool{
	// The keeper assigns the partitions of the batch jobs to stores, and reads the stores' reports about them.
	{"control/keeper", "batch"}: true,
}

const modulePrefix = "dunetide/internal/"

// The tier and the delivery node must not import each other's packages, apart from the platform, and neither may
// import the lab, which is for tests.
func TestSourcesImportOnlyAllowedLayers(t *testing.T) {
	used := map[[2]string]bool{}
	for _, layer := range layers {
		for folder, imports := range importsBelow(t, layer.folder) {
			for _, path := range imports {
				name, internal := strings.CutPrefix(path, modulePrefix)
				if !internal || allowed(name, append(layer.mayImport, layer.folder)) {
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
			t.Errorf("internal/%s no longer imports internal/%s: remove it from the exceptions", exception[0], exception[1])
		}
	}
}

// Production programs must not import the lab.
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

// Every folder below internal/ must be assigned to a layer, so that a new one is placed deliberately.
func TestEachFolderHasALayer(t *testing.T) {
	entries, err := filepath.Glob("*")
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{"lab": true} // may import everything
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

// allowed reports whether a package is in one of the folders.
func allowed(name string, folders []string) bool {
	for _, folder := range folders {
		if name == folder || strings.HasPrefix(name, folder+"/") {
			return true
		}
	}
	return false
}

// importsBelow returns the imports of the sources in a folder and below it, except for tests, by folder.
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

// isTestSupport reports whether a source file belongs to a package that is for tests only, such as vfstest.
func isTestSupport(path string) bool { return strings.HasSuffix(filepath.Dir(path), "test") }
