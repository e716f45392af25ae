package config

import (
	"math"
	"os"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/reflect/protoreflect"

	"sapphirepoint.example/sapphirepoint/core/settings"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// versionField is assigned on acceptance and never stands in a file.
const versionField = "version"

// LoadSettings reads and checks the operators' settings file.
func LoadSettings(path string) (*pb.Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSettings(path, raw)
}

// ParseSettings reads declared settings from YAML and checks them. The file's
// fields are those of the Settings message; a field whose name in the message
// ends in a unit (response_time_ms) stands without it and takes a value with
// its unit (response_time: 30s). An error is of type Problems and holds
// everything that is wrong.
func ParseSettings(file string, raw []byte) (*pb.Settings, error) {
	d, err := parse(file, raw)
	if err != nil {
		return nil, err
	}
	s := &pb.Settings{}
	m := &mapper{document: d, names: make(map[string]string)}
	m.message("", "", d.root, s.ProtoReflect())
	m.validate(s)
	if err := d.problems.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// mapper puts a document's values into a message.
type mapper struct {
	*document
	// names gives the file's path of a path in the message.
	names map[string]string
}

// validate checks the whole and reports each problem at its place in the file.
// A value that couldn't be read isn't reported a second time as missing.
func (m *mapper) validate(s *pb.Settings) {
	var found settings.Errors
	if !errors.As(settings.Validate(s), &found) {
		return
	}
	unreadable := make(map[string]bool)
	for _, p := range m.problems {
		unreadable[p.Field] = true
	}
	for _, e := range found {
		if path := m.filePath(e.Field); !unreadable[path] {
			m.reject(path, "%s", e.Problem)
		}
	}
}

// filePath is the file's path of a message's path. Fields left out of the file
// weren't visited: their last part is converted here.
func (m *mapper) filePath(path string) string {
	if name, ok := m.names[path]; ok {
		return name
	}
	i := strings.LastIndex(path, ".")
	if i < 0 {
		return path
	}
	_, last := unitOf(path[i+1:])
	return m.filePath(path[:i]) + "." + last
}

func (m *mapper) message(at, wireAt string, n ast.Node, msg protoreflect.Message) {
	known := make(map[string]protoreflect.FieldDescriptor)
	descriptors := msg.Descriptor().Fields()
	for i := range descriptors.Len() {
		fd := descriptors.Get(i)
		_, name := unitOf(string(fd.Name()))
		known[name] = fd
	}
	if at == "" {
		delete(known, versionField)
	}
	m.fields(at, n, func(path, name string, value ast.Node) {
		fd := known[name]
		if fd == nil {
			m.reject(path, "unknown field")
			return
		}
		wire := join(wireAt, string(fd.Name()))
		m.names[wire] = path
		m.field(path, wire, value, msg, fd)
	})
}

func (m *mapper) field(path, wire string, n ast.Node, msg protoreflect.Message, fd protoreflect.FieldDescriptor) {
	if !fd.IsList() {
		if v, ok := m.value(path, n, fd); ok {
			msg.Set(fd, v)
		}
		return
	}
	list := msg.Mutable(fd).List()
	m.items(path, n, func(path string, item ast.Node) {
		wire := wire + path[strings.LastIndex(path, "["):]
		m.names[wire] = path
		if fd.Kind() == protoreflect.MessageKind {
			m.message(path, wire, item, list.AppendMutable().Message())
			return
		}
		if v, ok := m.value(path, item, fd); ok {
			list.Append(v)
		}
	})
}

// value converts one scalar. The kinds are those that Settings uses.
func (m *mapper) value(path string, n ast.Node, fd protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	none := protoreflect.Value{}
	text, ok := m.text(path, n)
	if !ok {
		return none, false
	}
	switch fd.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), true
	case protoreflect.BoolKind:
		if text != "true" && text != "false" {
			m.reject(path, "%q is neither true nor false", text)
			return none, false
		}
		return protoreflect.ValueOfBool(text == "true"), true
	case protoreflect.Uint32Kind:
		u, _ := unitOf(string(fd.Name()))
		number, err := u.parse(text)
		if err == nil && number > math.MaxUint32 {
			err = errors.Errorf("%q is too large", text)
		}
		if err != nil {
			m.reject(path, "%s", err)
			return none, false
		}
		return protoreflect.ValueOfUint32(uint32(number)), true
	}
	panic("config: Settings has a field of a kind that files can't hold: " + string(fd.FullName()))
}
