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

// versionField is the field of the version, which is assigned when settings are accepted and
// is not part of a file.
const versionField = "version"

// LoadSettings reads and checks the operators' settings file.
func LoadSettings(path string) (*pb.Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSettings(path, raw)
}

// ParseSettings reads declared settings from YAML and checks them. The file's fields are those
// of the Settings message; where a name in the message ends in a unit (response_time_ms), the
// file's name leaves it out and the value includes it (response_time: 30s). An error is of type
// Problems and lists all mistakes.
func ParseSettings(file string, raw []byte) (*pb.Settings, error) {
	d, err := parseDocument(file, raw)
	if err != nil {
		return nil, err
	}
	s := &pb.Settings{}
	dec := &decoder{document: d, filePaths: make(map[string]string)}
	dec.decodeMessage("", "", d.root, s.ProtoReflect())
	dec.validate(s)
	if err := d.problems.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// decoder decodes a document into a message.
type decoder struct {
	*document
	// filePaths maps paths in the message to paths in the file.
	filePaths map[string]string
}

// validate checks the decoded settings and reports each problem at its line in the file. A
// value that couldn't be read isn't reported a second time as missing.
func (dec *decoder) validate(s *pb.Settings) {
	var found settings.Errors
	if !errors.As(settings.Validate(s), &found) {
		return
	}
	invalid := make(map[string]bool)
	for _, p := range dec.problems {
		invalid[p.Field] = true
	}
	for _, e := range found {
		if path := dec.filePath(e.Field); !invalid[path] {
			dec.addProblem(path, "%s", e.Problem)
		}
	}
}

// filePath converts a path in the message to one in the file. A field that the file leaves
// out has no entry in filePaths: its parent is looked up and its name is converted.
func (dec *decoder) filePath(path string) string {
	if name, ok := dec.filePaths[path]; ok {
		return name
	}
	i := strings.LastIndex(path, ".")
	if i < 0 {
		return path
	}
	_, last := cutUnit(path[i+1:])
	return dec.filePath(path[:i]) + "." + last
}

// decodeMessage decodes a mapping into a message. parent is its path in the file, messagePath
// that in the message.
func (dec *decoder) decodeMessage(parent, messagePath string, n ast.Node, msg protoreflect.Message) {
	known := make(map[string]protoreflect.FieldDescriptor)
	descriptors := msg.Descriptor().Fields()
	for i := range descriptors.Len() {
		fd := descriptors.Get(i)
		_, name := cutUnit(string(fd.Name()))
		known[name] = fd
	}
	if parent == "" {
		delete(known, versionField)
	}
	dec.eachField(parent, n, func(path, name string, value ast.Node) {
		fd := known[name]
		if fd == nil {
			dec.addProblem(path, "unknown field")
			return
		}
		fieldMessagePath := joinPath(messagePath, string(fd.Name()))
		dec.filePaths[fieldMessagePath] = path
		dec.decodeField(path, fieldMessagePath, value, msg, fd)
	})
}

// decodeField decodes a scalar or a list into a field of a message.
func (dec *decoder) decodeField(path, messagePath string, n ast.Node, msg protoreflect.Message, fd protoreflect.FieldDescriptor) {
	if !fd.IsList() {
		if v, ok := dec.decodeValue(path, n, fd); ok {
			msg.Set(fd, v)
		}
		return
	}
	list := msg.Mutable(fd).List()
	dec.eachItem(path, n, func(path string, item ast.Node) {
		itemMessagePath := messagePath + path[strings.LastIndex(path, "["):]
		dec.filePaths[itemMessagePath] = path
		if fd.Kind() == protoreflect.MessageKind {
			dec.decodeMessage(path, itemMessagePath, item, list.AppendMutable().Message())
			return
		}
		if v, ok := dec.decodeValue(path, item, fd); ok {
			list.Append(v)
		}
	})
}

// decodeValue decodes a scalar; it supports the kinds of field that Settings has.
func (dec *decoder) decodeValue(path string, n ast.Node, fd protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	none := protoreflect.Value{}
	text, ok := dec.scalarText(path, n)
	if !ok {
		return none, false
	}
	switch fd.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), true
	case protoreflect.BoolKind:
		if text != "true" && text != "false" {
			dec.addProblem(path, "%q is neither true nor false", text)
			return none, false
		}
		return protoreflect.ValueOfBool(text == "true"), true
	case protoreflect.Uint32Kind:
		u, _ := cutUnit(string(fd.Name()))
		number, err := u.parse(text)
		if err == nil && number > math.MaxUint32 {
			err = errors.Errorf("%q is too large", text)
		}
		if err != nil {
			dec.addProblem(path, "%s", err)
			return none, false
		}
		return protoreflect.ValueOfUint32(uint32(number)), true
	}
	panic("config: unsupported kind of Settings field: " + string(fd.FullName()))
}
