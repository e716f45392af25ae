package entry

import "strconv"

// MemberID names one lifetime of a process on a VM.
func MemberID(node string, number uint64) string {
	return node + "#" + strconv.FormatUint(number, 10)
}
