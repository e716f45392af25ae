// Package task has the types that all core packages share: names of processes and submissions,
// digests, task starts and their verdicts.
package task

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Time is a reading of a process's monotonic clock: the time since the process started.
// Readings of different processes must not be compared.
type Time = time.Duration

// Incarnation identifies one run of one entry process. After a restart under the same node name
// the process is another incarnation.
type Incarnation struct {
	Node string
	// Run is a random number that the process draws when it starts.
	Run uint64
}

// IncarnationOf converts the wire form; nil gives the zero value.
func IncarnationOf(m *pb.Incarnation) Incarnation {
	return Incarnation{Node: m.GetNode(), Run: m.GetRun()}
}

// Proto converts to the wire form.
func (i Incarnation) Proto() *pb.Incarnation {
	return &pb.Incarnation{Node: i.Node, Run: i.Run}
}

// String is the form used in logs and claim rows.
func (i Incarnation) String() string {
	return fmt.Sprintf("%s/%016x", i.Node, i.Run)
}

// ID is a submission id in comparable form: either an issued id, which has a Holder, or the
// caller's own key, which has none.
type ID struct {
	Institution string
	// Holder is the incarnation that issued the id, Number its number there.
	Holder Incarnation
	Number uint64
	// OwnKey is the key that the caller chose.
	OwnKey string
}

// IDOf converts the wire form. The institution that presented the id becomes part of it, so that
// two institutions never share a submission.
func IDOf(institution string, m *pb.SubmissionId) ID {
	id := ID{Institution: institution}
	switch k := m.GetKind().(type) {
	case *pb.SubmissionId_Issued:
		id.Holder = IncarnationOf(k.Issued.GetHolder())
		id.Number = k.Issued.GetNumber()
	case *pb.SubmissionId_OwnKey:
		id.OwnKey = k.OwnKey
	}
	return id
}

// Proto converts to the wire form.
func (id ID) Proto() *pb.SubmissionId {
	if id.Issued() {
		issued := &pb.IssuedId{Holder: id.Holder.Proto(), Number: id.Number}
		return &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: issued}}
	}
	return &pb.SubmissionId{Kind: &pb.SubmissionId_OwnKey{OwnKey: id.OwnKey}}
}

// Issued reports whether an entry process issued the id.
func (id ID) Issued() bool {
	return id.Holder != Incarnation{}
}

// Valid reports whether the id identifies a submission.
func (id ID) Valid() bool {
	if id.Issued() {
		return id.OwnKey == "" && id.Holder.Node != "" && id.Number > 0
	}
	return id.OwnKey != ""
}

// String is the form used in logs, task names and claim rows.
func (id ID) String() string {
	if id.Issued() {
		return fmt.Sprintf("%s/i/%s/%d", id.Institution, id.Holder, id.Number)
	}
	return id.Institution + "/o/" + id.OwnKey
}

// Digest is the SHA-256 of the content of a submission.
type Digest [sha256.Size]byte

// DigestOf hashes the service, the team and the tasks. The length of each field is hashed too, so
// that different submissions never give the same input to the hash. The timeout is left out,
// because a caller may resubmit with less time left.
func DigestOf(s *pb.Submission) Digest {
	h := sha256.New()
	var n [8]byte
	writeField := func(b []byte) {
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	writeField([]byte(s.GetService()))
	writeField([]byte(s.GetTeam()))
	for _, t := range s.GetTasks() {
		writeField(t.GetPayload())
		binary.BigEndian.PutUint64(n[:], uint64(t.GetRunTimeMs()))
		h.Write(n[:])
	}
	var d Digest
	h.Sum(d[:0])
	return d
}

// StartID numbers the task starts of one incarnation.
type StartID uint64

// Verdict is what is known about the outcome of one start of a task.
type Verdict int

// The verdicts. Only NotStarted permits another start of the same task.
const (
	// Finished: the task ran and returned its output.
	Finished Verdict = iota + 1
	// Failed: the task ran and reported an error; it isn't run again.
	Failed
	// NotStarted: the task never ran and never will.
	NotStarted
	// Running: the upstream is running the task.
	Running
	// Lost: the connection failed after the request may have been sent.
	Lost
	// Unknown: the upstream has no record of whether the task ran, and never will have.
	Unknown
)

// String is the name of the verdict in logs.
func (v Verdict) String() string {
	switch v {
	case Finished:
		return "finished"
	case Failed:
		return "failed"
	case NotStarted:
		return "not-started"
	case Running:
		return "running"
	case Lost:
		return "lost"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Result is a verdict and the data that the upstream sent with it.
type Result struct {
	Verdict Verdict
	// Output is that of a Finished task.
	Output []byte
	// Detail is the error text of Failed, or the cause of NotStarted and Lost.
	Detail string
	// UpstreamRun identifies the run of the upstream process that answered; empty if it isn't
	// known.
	UpstreamRun string
	// Refused: an upstream that accepts tasks refused this start.
	Refused bool
	// Leaving: the upstream reported that it is about to stop.
	Leaving bool
}

// Slot identifies one execution slot of an upstream.
type Slot struct {
	Upstream string
	Index    uint32
}

// Upstream is an upstream on the platform's list.
type Upstream struct {
	Name          string
	Address       string
	FailureDomain string
	// Worker and Rack are where the upstream runs. Either is empty if it isn't known.
	Worker string
	Rack   string
	// Institution is the institution whose tasks the upstream runs.
	Institution string
	// Slots is the number of tasks that the upstream runs at once.
	Slots uint32
	// Leaving: the upstream is about to stop and gets no new tasks.
	Leaving bool
	// CPUMillis, in thousandths of a core, and MemoryMiB are the size of the worker; 0 if it
	// isn't known.
	CPUMillis uint32
	MemoryMiB uint32
}

// Node is an entry process on the platform's list.
type Node struct {
	Name          string
	Address       string
	FailureDomain string
	// Leaving: the process is about to stop.
	Leaving bool
}

// Members is the platform's list of entry processes and upstreams, in name order.
type Members struct {
	Version   uint64
	Nodes     []Node
	Upstreams []Upstream
}
