package config

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// MaxFileBytes bounds a settings file, in bytes.
const MaxFileBytes = 4 << 20

// document is a parsed file with the place of each of its fields.
type document struct {
	file     string
	root     *ast.MappingNode
	lines    map[string]int
	problems Problems
}

// parse reads a file's text as one YAML mapping.
func parse(file string, raw []byte) (*document, error) {
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
		return nil, Problems{{File: file, Line: line(tree.Docs[0].Body), Problem: "must be a mapping of fields"}}
	}
	d.root = root
	return d, nil
}

func syntaxProblem(file string, err error) Problem {
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		return Problem{File: file, Line: syntax.GetToken().Position.Line, Problem: syntax.GetMessage()}
	}
	return Problem{File: file, Problem: err.Error()}
}

func line(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

// reject notes a problem with a field. A field that the file leaves out has no
// line of its own and takes that of what encloses it.
func (d *document) reject(field, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    d.lineOf(field),
		Field:   field,
		Problem: fmt.Sprintf(format, args...),
	})
}

func (d *document) lineOf(field string) int {
	for field != "" {
		if n, ok := d.lines[field]; ok {
			return n
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return line(d.root)
}

// fieldAt is the innermost field on a line; empty if there is none.
func (d *document) fieldAt(line int) string {
	found := ""
	for field, n := range d.lines {
		if n == line && (len(field) > len(found) || len(field) == len(found) && field < found) {
			found = field
		}
	}
	return found
}

func join(parent, field string) string {
	if parent == "" {
		return field
	}
	return parent + "." + field
}

// fields calls visit for each field of a mapping.
func (d *document) fields(at string, n ast.Node, visit func(path, name string, value ast.Node)) {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		d.reject(at, "must be a mapping of fields")
		return
	}
	for _, pair := range m.Values {
		name := pair.Key.GetToken().Value
		path := join(at, name)
		d.lines[path] = line(pair.Key)
		visit(path, name, pair.Value)
	}
}

// items calls visit for each item of a list.
func (d *document) items(at string, n ast.Node, visit func(path string, value ast.Node)) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		d.reject(at, "must be a list")
		return
	}
	for i, item := range list.Values {
		path := fmt.Sprintf("%s[%d]", at, i)
		d.lines[path] = line(item)
		visit(path, item)
	}
}

// text is the text of a plain or quoted value.
func (d *document) text(at string, n ast.Node) (string, bool) {
	switch v := n.(type) {
	case *ast.StringNode:
		return v.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	case *ast.LiteralNode:
		return v.Value.Value, true
	case *ast.NullNode:
		d.reject(at, "has no value")
	default:
		d.reject(at, "must be a single value; anchors, aliases and tags aren't taken")
	}
	return "", false
}
