package declare

import (
	"bytes"
	_ "embed" // The schema is part of the program, so that check needs no file.
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

// schemaURL names the schema within this program.
const schemaURL = "https://filbertusher.invalid/declarations.json"

// declarable are the kinds that files may declare. The preset in force is not
// among them: it is switched, and a file would switch it back.
var declarable = []config.Kind{
	config.KindService, config.KindWorkspace, config.KindTier, config.KindPreset, config.KindEndpoint,
}

// schemas holds the compiled schema of each kind.
var schemas = compile()

func compile() map[config.Kind]*jsonschema.Schema {
	content, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, content); err != nil {
		panic(err)
	}
	compiled := make(map[config.Kind]*jsonschema.Schema)
	for _, one := range declarable {
		compiled[one] = compiler.MustCompile(schemaURL + "#/$defs/" + string(one))
	}
	return compiled
}

// maxFile bounds the size of one file, in bytes.
const maxFile = 64 << 20

// parse adds what a file declares and what is wrong with it.
func (s *Set) parse(file string, content []byte) {
	if len(content) > maxFile {
		s.add(file, 1, "", "the file is larger than "+strconv.Itoa(maxFile)+" bytes")
		return
	}
	parsed, err := parser.ParseBytes(content, 0)
	if err != nil {
		s.add(file, syntaxLine(err), "", syntaxText(err))
		return
	}
	for _, one := range parsed.Docs {
		if one.Body != nil && one.Body.Type() != ast.NullType {
			s.document(&document{file: file, node: one.Body})
		}
	}
}

func (s *Set) add(file string, line int, field, text string) {
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

// document checks one document and adds its object.
func (s *Set) document(d *document) {
	content, err := decodeNode(d.node)
	if err != nil {
		s.add(d.file, lineOf(d.node, nil), "", syntaxText(err))
		return
	}
	fields, ok := content.(map[string]any)
	if !ok {
		s.add(d.file, lineOf(d.node, nil), "", "a declaration has to be a mapping with the field kind")
		return
	}
	declaredKind, _ := fields["kind"].(string)
	schema, ok := schemas[config.Kind(declaredKind)]
	if !ok {
		s.add(d.file, lineOf(d.node, []string{"kind"}), "kind", "has to be one of service, workspace, tier, preset, endpoint")
		return
	}
	if err := schema.Validate(content); err != nil {
		s.invalid(d, err)
		return
	}
	s.object(d, config.Kind(declaredKind), fields)
}

// decodeNode returns the document in the types of encoding/json, which is what
// the schema and the kinds are defined on.
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

// invalid adds every leaf of the errors that the schema found.
func (s *Set) invalid(d *document, err error) {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		s.add(d.file, lineOf(d.node, nil), "", err.Error())
		return
	}
	if len(invalid.Causes) > 0 {
		for _, cause := range invalid.Causes {
			s.invalid(d, cause)
		}
		return
	}
	for _, field := range fieldsOf(invalid) {
		text := invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		s.add(d.file, lineOf(d.node, field), strings.Join(field, "."), text)
	}
}

// fieldsOf returns the paths of the fields that an error is about.
func fieldsOf(invalid *jsonschema.ValidationError) [][]string {
	var names []string
	switch about := invalid.ErrorKind.(type) {
	case *kind.Required:
		names = about.Missing
	case *kind.AdditionalProperties:
		names = about.Properties
	default:
		return [][]string{invalid.InstanceLocation}
	}
	var paths [][]string
	for _, name := range names {
		paths = append(paths, append(append([]string(nil), invalid.InstanceLocation...), name))
	}
	return paths
}

// object adds a valid declaration in its stored form.
func (s *Set) object(d *document, declaredKind config.Kind, fields map[string]any) {
	delete(fields, "kind")
	if declaredKind == config.KindService {
		fields["kind"] = fields["protocol"]
		delete(fields, "protocol")
	}
	name, _ := fields["name"].(string)
	key := config.Key(declaredKind, name)
	if first, taken := s.declared[key]; taken {
		s.add(d.file, lineOf(d.node, []string{"name"}), "name", string(declaredKind)+" "+name+" is declared in "+first.file+" line "+strconv.Itoa(lineOf(first.node, []string{"name"}))+" already")
		return
	}
	encoded, err := json.Marshal(fields)
	if err == nil {
		encoded, err = canonical(declaredKind, encoded)
	}
	if err != nil {
		s.add(d.file, lineOf(d.node, nil), "", err.Error())
		return
	}
	s.declared[key] = d
	s.Objects = append(s.Objects, usher.Object{Key: key, Value: encoded})
}

// canonical encodes an object as the configuration stores it.
func canonical(declaredKind config.Kind, encoded []byte) ([]byte, error) {
	switch declaredKind {
	case config.KindService:
		return through[usher.Service](encoded)
	case config.KindWorkspace:
		return through[usher.Workspace](encoded)
	case config.KindTier:
		return through[usher.Tier](encoded)
	case config.KindPreset:
		return through[usher.Preset](encoded)
	default:
		return through[usher.Endpoint](encoded)
	}
}

func through[T any](encoded []byte) ([]byte, error) {
	var value T
	if err := json.Unmarshal(encoded, &value); err != nil {
		return nil, err
	}
	return json.Marshal(value)
}

// lineOf returns the line of the field at a path, or of the nearest thing
// around it that the document has.
func lineOf(node ast.Node, path []string) int {
	line := lineAt(node)
	for _, segment := range path {
		next, at := child(node, segment)
		if next == nil {
			return line
		}
		node, line = next, at
	}
	return line
}

func lineAt(node ast.Node) int {
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 1
	}
	return node.GetToken().Position.Line
}

// child returns a field or an element of a node, and its line.
func child(node ast.Node, segment string) (ast.Node, int) {
	switch parent := node.(type) {
	case *ast.MappingNode:
		for _, value := range parent.Values {
			if value.Key.String() == segment {
				return value.Value, lineAt(value.Key)
			}
		}
	case *ast.MappingValueNode:
		if parent.Key.String() == segment {
			return parent.Value, lineAt(parent.Key)
		}
	case *ast.SequenceNode:
		index, err := strconv.Atoi(segment)
		if err == nil && index < len(parent.Values) {
			return parent.Values[index], lineAt(parent.Values[index])
		}
	}
	return nil, 0
}
