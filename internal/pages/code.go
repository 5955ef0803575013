package pages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Uses returns the names of package pkg that the module's code refers to as pkg.Name, without tests and the
// package itself.
func Uses(t testing.TB, pkg string) map[string]bool {
	t.Helper()
	used := make(map[string]bool)
	inspect(t, func(path string, _ *token.FileSet, n ast.Node) {
		if name, ok := nameOf(n, pkg); ok && filepath.Base(filepath.Dir(path)) != pkg {
			used[name] = true
		}
	})
	return used
}

// CallsWithout returns the positions in the module's code, without tests and package pkg, at which a method
// of one of these names is called with a first argument that contains no name of the package.
func CallsWithout(t testing.TB, pkg string, methods ...string) []string {
	t.Helper()
	var found []string
	inspect(t, func(path string, fset *token.FileSet, n ast.Node) {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 || filepath.Base(filepath.Dir(path)) == pkg {
			return
		}
		sel, ok := call.Fun.(*ast.SelectorExpr)
		if ok && slices.Contains(methods, sel.Sel.Name) && !mentions(call.Args[0], pkg) {
			found = append(found, fset.Position(call.Pos()).String())
		}
	})
	return found
}

// mentions reports whether an expression contains a selector pkg.Name.
func mentions(e ast.Expr, pkg string) bool {
	found := false
	ast.Inspect(e, func(n ast.Node) bool {
		_, ok := nameOf(n, pkg)
		found = found || ok
		return true
	})
	return found
}

// nameOf returns Name if the node is a selector pkg.Name.
func nameOf(n ast.Node, pkg string) (string, bool) {
	sel, ok := n.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	id, ok := sel.X.(*ast.Ident)
	return sel.Sel.Name, ok && id.Name == pkg
}

// Declared returns the names that the const or var declarations of a file introduce, in order. The path is
// relative to the directory of the test.
func Declared(t testing.TB, file string, tok token.Token) []string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	assert.NilError(t, err)
	var names []string
	for _, d := range f.Decls {
		gen, ok := d.(*ast.GenDecl)
		if !ok || gen.Tok != tok {
			continue
		}
		for _, spec := range gen.Specs {
			for _, id := range spec.(*ast.ValueSpec).Names {
				names = append(names, id.Name)
			}
		}
	}
	return names
}

// inspect calls visit for every syntax node of the module's code, without tests and generated files.
func inspect(t testing.TB, visit func(path string, fset *token.FileSet, n ast.Node)) {
	t.Helper()
	err := filepath.WalkDir(root(t), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !isCode(path) {
			return err
		}
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			visit(path, fset, n)
			return true
		})
		return nil
	})
	assert.NilError(t, err)
}

func isCode(path string) bool {
	return strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !strings.HasSuffix(path, ".pb.go")
}
