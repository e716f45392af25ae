package cli

import (
	"strings"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// outcomeName returns an outcome in words, such as "not run".
func outcomeName(o pb.Outcome) string {
	return enumWords(o.String(), "OUTCOME_")
}

// reasonName returns a reason in words, such as "holder gone".
func reasonName(r pb.Reason) string {
	return enumWords(r.String(), "REASON_")
}

// enumWords converts the name of an enum value to lower-case words.
func enumWords(name, prefix string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(name, prefix), "_", " "))
}
