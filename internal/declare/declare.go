// Package declare parses and validates YAML declarations and converts them to
// configuration objects. A file consists of any number of YAML documents, each
// of which declares one object. All errors are reported at once, with file,
// line and field, so that an operator can fix a file in one pass.
//
// In a file, kind is the kind of the declared object. The protocol field of a
// service is therefore named kind only in the stored object.
package declare

import (
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// Problem is one error in a declaration, with its position.
type Problem struct {
	File  string
	Line  int
	Field string
	Text  string
}

// Error implements error.
func (p *Problem) Error() string {
	position := p.File + ":" + strconv.Itoa(p.Line)
	if p.Field != "" {
		position += ": " + p.Field
	}
	return position + ": " + p.Text
}

// Error collects all errors in a set of files.
type Error struct{ Problems []*Problem }

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Set holds the objects that a set of files declares.
type Set struct {
	Objects []usher.Object

	declared map[usher.ObjectKey]*document
	problems []*Problem
}

// document is the YAML document of one declared object, with its file.
type document struct {
	file string
	node ast.Node
}

// Keys returns the set of keys of the declared objects.
func (s *Set) Keys() map[usher.ObjectKey]bool {
	keys := make(map[usher.ObjectKey]bool, len(s.declared))
	for key := range s.declared {
		keys[key] = true
	}
	return keys
}

// Read parses a file, or all files below a directory whose names end in .yaml
// or .yml. It returns an *Error or an error of the file system.
func Read(path string) (*Set, error) {
	files, err := yamlFiles(path)
	if err != nil {
		return nil, err
	}
	set := newSet()
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		set.parse(file, content)
	}
	return set, set.sortedErr()
}

// Parse parses the content of one file; the name appears in errors only. It
// returns an *Error.
func Parse(file string, content []byte) (*Set, error) {
	set := newSet()
	set.parse(file, content)
	return set, set.sortedErr()
}

func newSet() *Set { return &Set{declared: make(map[usher.ObjectKey]*document)} }

func yamlFiles(path string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(path, func(name string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		if extension := filepath.Ext(name); name == path || extension == ".yaml" || extension == ".yml" {
			files = append(files, name)
		}
		return nil
	})
	return files, err
}

func (s *Set) sortedErr() error {
	if len(s.problems) == 0 {
		return nil
	}
	sort.SliceStable(s.problems, func(i, j int) bool {
		a, b := s.problems[i], s.problems[j]
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	return &Error{Problems: s.problems}
}

// Locate converts the errors that Validate found in a whole configuration to an
// *Error with positions in the files. Errors of objects that no file declares
// are reported with their key instead.
func (s *Set) Locate(invalid *config.ValidationError) error {
	located := newSet()
	for _, fieldErr := range invalid.Errors {
		doc, ok := s.declared[fieldErr.Key]
		if !ok {
			located.problems = append(located.problems, &Problem{File: "stored configuration", Field: strings.TrimPrefix(string(fieldErr.Key), string(config.Prefix)) + ": " + fieldErr.Field, Text: fieldErr.Problem})
			continue
		}
		located.problems = append(located.problems, &Problem{
			File: doc.file, Line: lineOf(doc.node, []string{fieldErr.Field}), Field: fieldErr.Field, Text: fieldErr.Problem,
		})
	}
	return located.sortedErr()
}
