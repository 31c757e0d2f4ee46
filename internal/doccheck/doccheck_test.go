// Package doccheck holds the check that all public items of the project are
// documented.
package doccheck

import (
	"go/ast"
	"go/doc"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// undocumented lists the public items of one folder that have no doc comment, and
// the package where it has none.
func undocumented(folder string) (out []string, err error) {
	files := token.NewFileSet()
	var parsed []*ast.File
	paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		if err != nil {
			return nil, err
		}
		parsed = append(parsed, file)
	}
	if len(parsed) == 0 {
		return nil, nil
	}
	pkg, err := doc.NewFromFiles(files, parsed, folder)
	if err != nil {
		return nil, err
	}
	report := func(name, comment string) {
		if strings.TrimSpace(comment) == "" {
			out = append(out, folder+": "+name)
		}
	}
	report("package "+pkg.Name, pkg.Doc)
	functions := pkg.Funcs
	values := append(pkg.Consts, pkg.Vars...)
	for _, item := range pkg.Types {
		report(item.Name, item.Doc)
		functions = append(append(functions, item.Funcs...), item.Methods...)
		values = append(append(values, item.Consts...), item.Vars...)
	}
	for _, function := range functions {
		report(function.Name, function.Doc)
	}
	for _, value := range values {
		if value.Doc != "" {
			continue
		}
		for _, spec := range value.Decl.Specs {
			report(strings.Join(value.Names, ", "), spec.(*ast.ValueSpec).Doc.Text())
		}
	}
	return out, nil
}

func TestPublicItemsAreDocumented(t *testing.T) {
	RegisterTestingT(t)
	folders := 0
	for _, root := range []string{"../../internal", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !entry.IsDir() {
				return err
			}
			if entry.Name() == "testdata" {
				return fs.SkipDir
			}
			folders++
			missing, err := undocumented(path)
			Expect(missing).To(BeEmpty())
			return err
		})
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(folders).To(BeNumerically(">", 20))
}

func TestUndocumentedItemsAreFound(t *testing.T) {
	RegisterTestingT(t)
	missing, err := undocumented("testdata")
	Expect(err).NotTo(HaveOccurred())
	Expect(missing).To(ConsistOf("testdata: package bare", "testdata: Bare", "testdata: Method"))
}
