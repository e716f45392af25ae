package bench

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const idBlock = 1000

// idSource returns the ids that a core issues, in blocks.
type idSource struct {
	block *pb.IdBlock
	used  uint32
}

func (s *idSource) next(core *dispatch.Core, now time.Duration) *pb.SubmissionId {
	if s.block == nil || s.used == s.block.GetCount() {
		s.block = core.IssueIDs(now, idBlock)
		s.used = 0
	}
	id := &pb.IssuedId{Holder: s.block.GetHolder(), Number: s.block.GetFirst() + uint64(s.used)}
	s.used++
	return &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: id}}
}
