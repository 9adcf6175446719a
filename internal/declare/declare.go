// Package declare reads declarations from YAML files, checks them whole, and
// turns them into the objects of the configuration. A file holds any number of
// documents; each declares one object. Every error is reported at once, with
// its file, line and field, because an operator mends a file in one go.
//
// The field protocol of a service is called kind in the stored object; in a
// file, kind says what is declared.
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

// Problem is one error in a declaration.
type Problem struct {
	File  string
	Line  int
	Field string
	Text  string
}

// Error implements error.
func (p *Problem) Error() string {
	place := p.File + ":" + strconv.Itoa(p.Line)
	if p.Field != "" {
		place += ": " + p.Field
	}
	return place + ": " + p.Text
}

// Error is everything that is wrong with a set of files.
type Error struct{ Problems []*Problem }

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Set is what a set of files declares.
type Set struct {
	Objects []usher.Object

	declared map[usher.ObjectKey]*document
	problems []*Problem
}

// document is one declared object and where it stands.
type document struct {
	file string
	node ast.Node
}

// Keys returns the keys of the declared objects.
func (s *Set) Keys() map[usher.ObjectKey]bool {
	keys := make(map[usher.ObjectKey]bool, len(s.declared))
	for key := range s.declared {
		keys[key] = true
	}
	return keys
}

// Read reads a file, or all files below a folder whose name ends in .yaml or
// .yml. Errors are *Error and those of the file system.
func Read(path string) (*Set, error) {
	files, err := list(path)
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
	return set, set.err()
}

// Parse reads one file that is in memory. Errors are *Error.
func Parse(file string, content []byte) (*Set, error) {
	set := newSet()
	set.parse(file, content)
	return set, set.err()
}

func newSet() *Set { return &Set{declared: make(map[usher.ObjectKey]*document)} }

func list(path string) ([]string, error) {
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

func (s *Set) err() error {
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

// Locate turns what Check found wrong with a whole configuration into problems
// of the files. Errors of objects that no file declares keep their key.
func (s *Set) Locate(check *config.CheckError) error {
	located := newSet()
	for _, one := range check.Errors {
		found, ok := s.declared[one.Key]
		if !ok {
			located.problems = append(located.problems, &Problem{File: "in force", Field: strings.TrimPrefix(string(one.Key), string(config.Prefix)) + ": " + one.Field, Text: one.Problem})
			continue
		}
		located.problems = append(located.problems, &Problem{
			File: found.file, Line: lineOf(found.node, []string{one.Field}), Field: one.Field, Text: one.Problem,
		})
	}
	return located.err()
}
