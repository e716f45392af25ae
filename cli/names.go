package cli

import (
	"strings"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// outcomeName is the word on a submission, such as "not run".
func outcomeName(o pb.Outcome) string {
	return plain(o.String(), "OUTCOME_")
}

// reasonName is the reason in words, such as "holder gone".
func reasonName(r pb.Reason) string {
	return plain(r.String(), "REASON_")
}

func plain(name, prefix string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(name, prefix), "_", " "))
}
