package cli

import (
	"encoding/base64"
	"io"
	"math"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// stdinName is the file name that means standard input.
const stdinName = "-"

// maxJobFileBytes is the maximum size of a job file.
const maxJobFileBytes = 128 << 20

// jobFile is the content of a job file, in YAML or JSON.
type jobFile struct {
	Service string    `yaml:"service"`
	Team    string    `yaml:"team"`
	Timeout string    `yaml:"timeout"`
	Tasks   []jobTask `yaml:"tasks"`
}

// jobTask is a task of a job file.
type jobTask struct {
	// Payload or PayloadBase64 has the payload; at most one may be given.
	Payload       string `yaml:"payload"`
	PayloadBase64 string `yaml:"payload_base64"`
	// RunTime is the declared run time with its unit, such as 200ms.
	RunTime string `yaml:"run_time"`
	// Count is how many times the task is repeated; 0 means once.
	Count int `yaml:"count"`
}

// readJob reads a job from a file or standard input.
func (a *app) readJob(path string) (*pb.Submission, error) {
	in := a.In
	if path != stdinName {
		f, err := os.Open(path)
		if err != nil {
			return nil, asUsageError(err)
		}
		defer f.Close()
		in = f
	}
	raw, err := io.ReadAll(io.LimitReader(in, maxJobFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read job")
	}
	if len(raw) > maxJobFileBytes {
		return nil, asUsageError(errors.Errorf("%s: larger than %d bytes", path, maxJobFileBytes))
	}
	s, err := parseJob(raw)
	return s, asUsageError(errors.Wrap(err, path))
}

// parseJob decodes and checks a job file.
func parseJob(raw []byte) (*pb.Submission, error) {
	var f jobFile
	if err := yaml.UnmarshalWithOptions(raw, &f, yaml.Strict()); err != nil {
		return nil, errors.New(yaml.FormatError(err, false, true))
	}
	if f.Service == "" {
		return nil, errors.New("service: must not be empty")
	}
	timeout, err := milliseconds("timeout", f.Timeout)
	if err != nil {
		return nil, err
	}
	s := &pb.Submission{Service: f.Service, Team: f.Team, TimeoutMs: timeout}
	for i, t := range f.Tasks {
		task, err := t.message()
		if err != nil {
			return nil, errors.Wrapf(err, "tasks[%d]", i)
		}
		for range max(t.Count, 1) {
			s.Tasks = append(s.Tasks, task)
		}
	}
	if len(s.Tasks) == 0 {
		return nil, errors.New("tasks: at least one is needed")
	}
	return s, nil
}

// message checks a task and converts it to the wire form.
func (t jobTask) message() (*pb.Task, error) {
	if t.Payload != "" && t.PayloadBase64 != "" {
		return nil, errors.New("payload and payload_base64 exclude each other")
	}
	if t.Count < 0 {
		return nil, errors.New("count: must not be negative")
	}
	runTime, err := milliseconds("run_time", t.RunTime)
	if err != nil {
		return nil, err
	}
	payload := []byte(t.Payload)
	if t.PayloadBase64 != "" {
		raw, err := base64.StdEncoding.DecodeString(t.PayloadBase64)
		if err != nil {
			return nil, errors.Wrap(err, "payload_base64")
		}
		payload = raw
	}
	return &pb.Task{Payload: payload, RunTimeMs: runTime}, nil
}

// milliseconds parses a duration with its unit; empty means 0.
func milliseconds(field, text string) (uint32, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d.Milliseconds() > math.MaxUint32 {
		return 0, errors.Errorf("%s: %q isn't a time with its unit, such as 200ms or 2s", field, text)
	}
	return uint32(d.Milliseconds()), nil
}
