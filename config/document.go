package config

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 4 << 20

// document is a parsed file with the line of each of its fields.
type document struct {
	file string
	root *ast.MappingNode
	// lines maps the path of a field or list item, such as institutions[0].name, to its line.
	lines    map[string]int
	problems Problems
}

// parseDocument parses a file's text as a single YAML document that is a mapping.
func parseDocument(file string, raw []byte) (*document, error) {
	d := &document{file: file, lines: make(map[string]int)}
	if len(raw) > MaxFileBytes {
		return nil, Problems{{File: file, Problem: fmt.Sprintf("%d bytes; at most %d are taken", len(raw), MaxFileBytes)}}
	}
	tree, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return nil, Problems{syntaxProblem(file, err)}
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return nil, Problems{{File: file, Problem: "must hold exactly one YAML document"}}
	}
	root, ok := tree.Docs[0].Body.(*ast.MappingNode)
	if !ok {
		return nil, Problems{{File: file, Line: lineOfNode(tree.Docs[0].Body), Problem: "must be a mapping of fields"}}
	}
	d.root = root
	return d, nil
}

// syntaxProblem converts an error of the YAML parser to a problem with its line.
func syntaxProblem(file string, err error) Problem {
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		return Problem{File: file, Line: syntax.GetToken().Position.Line, Problem: syntax.GetMessage()}
	}
	return Problem{File: file, Problem: err.Error()}
}

// lineOfNode returns the line of a node; 0 if it is unknown.
func lineOfNode(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

// addProblem records a problem with a field. A field that the file leaves out is reported at
// the line of the innermost section or item that contains it.
func (d *document) addProblem(field, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    d.lineOf(field),
		Field:   field,
		Problem: fmt.Sprintf(format, args...),
	})
}

// lineOf returns the line of a field or, if the file leaves it out, of what contains it.
func (d *document) lineOf(field string) int {
	for field != "" {
		if n, ok := d.lines[field]; ok {
			return n
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return lineOfNode(d.root)
}

// fieldOnLine returns the innermost field on a line; empty if there is none.
func (d *document) fieldOnLine(line int) string {
	found := ""
	for field, n := range d.lines {
		if n == line && (len(field) > len(found) || len(field) == len(found) && field < found) {
			found = field
		}
	}
	return found
}

// joinPath appends a field's name to the path of its section.
func joinPath(parent, field string) string {
	if parent == "" {
		return field
	}
	return parent + "." + field
}

// eachField calls visit for each field of a mapping and records the field's line.
func (d *document) eachField(parent string, n ast.Node, visit func(path, name string, value ast.Node)) {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		d.addProblem(parent, "must be a mapping of fields")
		return
	}
	for _, pair := range m.Values {
		name := pair.Key.GetToken().Value
		path := joinPath(parent, name)
		d.lines[path] = lineOfNode(pair.Key)
		visit(path, name, pair.Value)
	}
}

// eachItem calls visit for each item of a list and records the item's line.
func (d *document) eachItem(parent string, n ast.Node, visit func(path string, value ast.Node)) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addProblem(parent, "must be a list")
		return
	}
	for i, item := range list.Values {
		path := fmt.Sprintf("%s[%d]", parent, i)
		d.lines[path] = lineOfNode(item)
		visit(path, item)
	}
}

// scalarText returns the text of a plain or quoted value; false if it isn't one.
func (d *document) scalarText(path string, n ast.Node) (string, bool) {
	switch v := n.(type) {
	case *ast.StringNode:
		return v.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	case *ast.LiteralNode:
		return v.Value.Value, true
	case *ast.NullNode:
		d.addProblem(path, "has no value")
	default:
		d.addProblem(path, "must be a single value; anchors, aliases and tags aren't taken")
	}
	return "", false
}
