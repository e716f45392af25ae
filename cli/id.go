package cli

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/client"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// The prefixes of the two kinds of id, and the base of the run in an issued id.
const (
	issuedPrefix = "i/"
	ownPrefix    = "o/"
	runIDBase    = 16
)

// formatID formats an id as parseID reads it.
func formatID(id *pb.SubmissionId) string {
	if i := id.GetIssued(); i != nil {
		return fmt.Sprintf("%s%s/%016x/%d", issuedPrefix, i.GetHolder().GetNode(), i.GetHolder().GetRun(), i.GetNumber())
	}
	return ownPrefix + id.GetOwnKey()
}

// parseID parses an id: i/NODE/RUN/NUMBER if issued, o/KEY for the caller's own key.
func parseID(text string) (*pb.SubmissionId, error) {
	if key, ok := strings.CutPrefix(text, ownPrefix); ok && key != "" {
		return client.OwnKey(key), nil
	}
	bad := errors.Errorf("%q isn't an id: i/NODE/RUN/NUMBER or o/KEY", text)
	issued, ok := strings.CutPrefix(text, issuedPrefix)
	parts := strings.Split(issued, "/")
	if !ok || len(parts) != 3 || parts[0] == "" {
		return nil, bad
	}
	run, err := strconv.ParseUint(parts[1], runIDBase, 64)
	if err != nil {
		return nil, bad
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || number == 0 {
		return nil, bad
	}
	id := &pb.IssuedId{Holder: &pb.Incarnation{Node: parts[0], Run: run}, Number: number}
	return &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: id}}, nil
}
