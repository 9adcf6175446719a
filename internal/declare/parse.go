package declare

import (
	"bytes"
	_ "embed" // The schema is embedded, so that the check command needs no file.
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

//go:embed schema.json
var schemaText []byte

// Schema returns the JSON schema of declarations.
func Schema() []byte { return schemaText }

// schemaURL is the base URI of the embedded schema; it is never fetched.
const schemaURL = "https://filbertusher.invalid/declarations.json"

// declarableKinds are the kinds that files may declare. They do not include the
// active preset: operators switch it at run time, and applying a file would
// revert the switch.
var declarableKinds = []config.Kind{
	config.KindService, config.KindWorkspace, config.KindTier, config.KindPreset, config.KindEndpoint,
}

// schemas holds the compiled schema of each declarable kind.
var schemas = compileSchemas()

func compileSchemas() map[config.Kind]*jsonschema.Schema {
	content, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, content); err != nil {
		panic(err)
	}
	compiled := make(map[config.Kind]*jsonschema.Schema)
	for _, objectKind := range declarableKinds {
		compiled[objectKind] = compiler.MustCompile(schemaURL + "#/$defs/" + string(objectKind))
	}
	return compiled
}

// maxFileBytes is the maximum size of one file.
const maxFileBytes = 64 << 20

// parse adds the objects that a file declares and the problems found in it.
func (s *Set) parse(file string, content []byte) {
	if len(content) > maxFileBytes {
		s.addProblem(file, 1, "", "the file is larger than "+strconv.Itoa(maxFileBytes)+" bytes")
		return
	}
	parsed, err := parser.ParseBytes(content, 0)
	if err != nil {
		s.addProblem(file, syntaxLine(err), "", syntaxText(err))
		return
	}
	for _, doc := range parsed.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.NullType {
			s.addDocument(&document{file: file, node: doc.Body})
		}
	}
}

func (s *Set) addProblem(file string, line int, field, text string) {
	s.problems = append(s.problems, &Problem{File: file, Line: line, Field: field, Text: text})
}

func syntaxLine(err error) int {
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil && syntax.GetToken().Position != nil {
		return syntax.GetToken().Position.Line
	}
	return 1
}

func syntaxText(err error) string {
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		return syntax.GetMessage()
	}
	return err.Error()
}

// addDocument validates a document and adds its object.
func (s *Set) addDocument(d *document) {
	content, err := decodeNode(d.node)
	if err != nil {
		s.addProblem(d.file, lineOf(d.node, nil), "", syntaxText(err))
		return
	}
	fields, ok := content.(map[string]any)
	if !ok {
		s.addProblem(d.file, lineOf(d.node, nil), "", "a declaration must be a mapping with the field kind")
		return
	}
	declaredKind, _ := fields["kind"].(string)
	schema, ok := schemas[config.Kind(declaredKind)]
	if !ok {
		s.addProblem(d.file, lineOf(d.node, []string{"kind"}), "kind", "must be one of service, workspace, tier, preset, endpoint")
		return
	}
	if err := schema.Validate(content); err != nil {
		s.addSchemaProblems(d, err)
		return
	}
	s.addObject(d, config.Kind(declaredKind), fields)
}

// decodeNode returns the document as the types of encoding/json, for which the
// schema and the object types are defined.
func decodeNode(node ast.Node) (any, error) {
	var decoded any
	if err := yaml.NodeToValue(node, &decoded); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(decoded)
	if err != nil {
		return nil, err
	}
	return jsonschema.UnmarshalJSON(bytes.NewReader(encoded))
}

// addSchemaProblems adds a problem for every leaf of a tree of schema errors.
func (s *Set) addSchemaProblems(d *document, err error) {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		s.addProblem(d.file, lineOf(d.node, nil), "", err.Error())
		return
	}
	if len(invalid.Causes) > 0 {
		for _, cause := range invalid.Causes {
			s.addSchemaProblems(d, cause)
		}
		return
	}
	for _, field := range fieldsOf(invalid) {
		text := invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		s.addProblem(d.file, lineOf(d.node, field), strings.Join(field, "."), text)
	}
}

// fieldsOf returns the paths of the fields that a schema error concerns.
func fieldsOf(invalid *jsonschema.ValidationError) [][]string {
	var names []string
	switch detail := invalid.ErrorKind.(type) {
	case *kind.Required:
		names = detail.Missing
	case *kind.AdditionalProperties:
		names = detail.Properties
	default:
		return [][]string{invalid.InstanceLocation}
	}
	var paths [][]string
	for _, name := range names {
		paths = append(paths, append(append([]string(nil), invalid.InstanceLocation...), name))
	}
	return paths
}

// addObject adds a valid declaration in its stored form.
func (s *Set) addObject(d *document, declaredKind config.Kind, fields map[string]any) {
	delete(fields, "kind")
	if declaredKind == config.KindService {
		fields["kind"] = fields["protocol"]
		delete(fields, "protocol")
	}
	name, _ := fields["name"].(string)
	key := config.Key(declaredKind, name)
	if first, taken := s.declared[key]; taken {
		s.addProblem(d.file, lineOf(d.node, []string{"name"}), "name", string(declaredKind)+" "+name+" is declared in "+first.file+" line "+strconv.Itoa(lineOf(first.node, []string{"name"}))+" already")
		return
	}
	encoded, err := json.Marshal(fields)
	if err == nil {
		encoded, err = canonicalize(declaredKind, encoded)
	}
	if err != nil {
		s.addProblem(d.file, lineOf(d.node, nil), "", err.Error())
		return
	}
	s.declared[key] = d
	s.Objects = append(s.Objects, usher.Object{Key: key, Value: encoded})
}

// canonicalize returns the encoding in which the configuration stores the object.
func canonicalize(declaredKind config.Kind, encoded []byte) ([]byte, error) {
	switch declaredKind {
	case config.KindService:
		return reencode[usher.Service](encoded)
	case config.KindWorkspace:
		return reencode[usher.Workspace](encoded)
	case config.KindTier:
		return reencode[usher.Tier](encoded)
	case config.KindPreset:
		return reencode[usher.Preset](encoded)
	default:
		return reencode[usher.Endpoint](encoded)
	}
}

func reencode[T any](encoded []byte) ([]byte, error) {
	var value T
	if err := json.Unmarshal(encoded, &value); err != nil {
		return nil, err
	}
	return json.Marshal(value)
}

// lineOf returns the line of the field at a path, or of its nearest ancestor in
// the document if the field is missing.
func lineOf(node ast.Node, path []string) int {
	line := nodeLine(node)
	for _, segment := range path {
		next, childLine := child(node, segment)
		if next == nil {
			return line
		}
		node, line = next, childLine
	}
	return line
}

func nodeLine(node ast.Node) int {
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 1
	}
	return node.GetToken().Position.Line
}

// child returns the value of a field or element of a node, and its line.
func child(node ast.Node, segment string) (ast.Node, int) {
	switch parent := node.(type) {
	case *ast.MappingNode:
		for _, value := range parent.Values {
			if value.Key.String() == segment {
				return value.Value, nodeLine(value.Key)
			}
		}
	case *ast.MappingValueNode:
		if parent.Key.String() == segment {
			return parent.Value, nodeLine(parent.Key)
		}
	case *ast.SequenceNode:
		index, err := strconv.Atoi(segment)
		if err == nil && index < len(parent.Values) {
			return parent.Values[index], nodeLine(parent.Values[index])
		}
	}
	return nil, 0
}
