// Package docs holds the project's pages. Its tests check that the pages which lead a newcomer name what the code really has.
package docs

import (
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
)

// root is the repository, seen from this folder.
const root = ".."

// checkedPages are the pages whose every name in backquotes has to exist.
var checkedPages = []string{"architecture.md", "glossary.md"}

// codeNames is what the sources declare: identifiers, alone and behind their package or type, and the text of string literals.
type codeNames struct {
	declared map[string]bool
	literals strings.Builder
}

// add notes an identifier alone and behind each qualifier that is not empty.
func (n *codeNames) add(name string, qualifiers ...string) {
	n.declared[name] = true
	for _, qualifier := range qualifiers {
		if qualifier != "" {
			n.declared[qualifier+"."+name] = true
		}
	}
}

// readSources collects the names of all Go sources that are no tests.
func readSources(t *testing.T) *codeNames {
	t.Helper()
	names := &codeNames{declared: map[string]bool{}}
	for _, folder := range []string{"cmd", "internal", "policy"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			names.addFile(file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}

func (n *codeNames) addFile(file *ast.File) {
	pkg := file.Name.Name
	n.add(pkg)
	ast.Inspect(file, func(node ast.Node) bool {
		switch d := node.(type) {
		case *ast.FuncDecl:
			n.add(d.Name.Name, pkg, receiverType(d))
		case *ast.TypeSpec:
			n.add(d.Name.Name, pkg)
			n.addFields(d)
		case *ast.ValueSpec:
			for _, name := range d.Names {
				n.add(name.Name, pkg)
			}
		case *ast.BasicLit:
			if text, err := strconv.Unquote(d.Value); err == nil && d.Kind == token.STRING {
				n.literals.WriteString(text + "\n")
			}
		}
		return true
	})
}

// addFields notes the fields of a struct and the methods of an interface behind the type's name.
func (n *codeNames) addFields(spec *ast.TypeSpec) {
	var fields *ast.FieldList
	switch typed := spec.Type.(type) {
	case *ast.StructType:
		fields = typed.Fields
	case *ast.InterfaceType:
		fields = typed.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			n.add(name.Name, spec.Name.Name)
		}
	}
}

// receiverType is the name of the type that a method belongs to, or empty.
func receiverType(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	typed := f.Recv.List[0].Type
	if star, ok := typed.(*ast.StarExpr); ok {
		typed = star.X
	}
	if generic, ok := typed.(*ast.IndexExpr); ok {
		typed = generic.X
	}
	if name, ok := typed.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}

// has reports whether a text from a page names a path of the repository, something that the code declares, or a part of a string
// literal: what stands on the wire, on disk, in settings or in metrics.
func (n *codeNames) has(name string) bool {
	if _, err := os.Stat(filepath.Join(root, name)); err == nil {
		return true
	}
	bare := strings.TrimSuffix(name, "()")
	return n.declared[bare] || strings.Contains(n.literals.String(), bare)
}

var inBackquotes = regexp.MustCompile("`([^`\n]+)`")

// Each name in backquotes on the architecture page and in the glossary exists, so that the pages can't fall behind the code.
func TestNamesOnPagesExist(t *testing.T) {
	names := readSources(t)
	for _, page := range checkedPages {
		t.Run(page, func(t *testing.T) {
			text, err := os.ReadFile(page)
			if err != nil {
				t.Fatal(err)
			}
			found := inBackquotes.FindAllStringSubmatch(string(text), -1)
			if len(found) == 0 {
				t.Error("the page names nothing in backquotes")
			}
			for _, match := range found {
				if !names.has(match[1]) {
					t.Errorf("%q is neither a path, nor declared, nor part of a string in the code", match[1])
				}
			}
		})
	}
}

// A name that does not exist is found out.
func TestUnknownNameIsFound(t *testing.T) {
	names := readSources(t)
	for _, name := range []string{"noSuchFunctionAnywhere", "keeper.NoSuchType", "internal/nowhere"} {
		if names.has(name) {
			t.Errorf("%q is taken for a name of the code", name)
		}
	}
}
