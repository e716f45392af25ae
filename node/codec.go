package node

import (
	"bytes"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/settings"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// errTooManyTasks rejects a submission before it is decoded: an empty task of two bytes becomes some eighty.
var errTooManyTasks = errors.Errorf("tasks: more than %d", settings.MaxTasks)

// boundedCodecs returns the codecs of callers' requests. They decode no submission with more tasks than any service may
// declare.
func boundedCodecs() connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithCodec(protoCodec{}), connect.WithCodec(jsonCodec{}))
}

// protoCodec is the binary form.
type protoCodec struct{}

func (protoCodec) Name() string { return "proto" }

func (protoCodec) Marshal(v any) ([]byte, error) {
	m, err := messageOf(v)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(m)
}

func (protoCodec) Unmarshal(raw []byte, v any) error {
	m, err := messageOf(v)
	if err != nil {
		return err
	}
	if _, ok := m.(*pb.Submission); ok && countTasks(raw) > settings.MaxTasks {
		return errTooManyTasks
	}
	return proto.Unmarshal(raw, m)
}

// countTasks counts the tasks of a submission up to the first field that can't be read.
func countTasks(raw []byte) int {
	tasks := (&pb.Submission{}).ProtoReflect().Descriptor().Fields().ByName("tasks").Number()
	count := 0
	for len(raw) > 0 {
		field, _, n := protowire.ConsumeField(raw)
		if n < 0 {
			return count
		}
		if field == tasks {
			count++
		}
		raw = raw[n:]
	}
	return count
}

// jsonCodec is the JSON form.
type jsonCodec struct{}

func (jsonCodec) Name() string { return "json" }

func (jsonCodec) Marshal(v any) ([]byte, error) {
	m, err := messageOf(v)
	if err != nil {
		return nil, err
	}
	return protojson.Marshal(m)
}

// otherObjects is the number of JSON objects of a submission that aren't tasks.
const otherObjects = 4

func (jsonCodec) Unmarshal(raw []byte, v any) error {
	m, err := messageOf(v)
	if err != nil {
		return err
	}
	if _, ok := m.(*pb.Submission); ok && bytes.Count(raw, []byte("{")) > settings.MaxTasks+otherObjects {
		return errTooManyTasks
	}
	return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(raw, m)
}

func messageOf(v any) (proto.Message, error) {
	m, ok := v.(proto.Message)
	if !ok {
		return nil, errors.Errorf("%T isn't a message", v)
	}
	return m, nil
}
