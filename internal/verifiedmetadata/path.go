package verifiedmetadata

import "strings"

// maxPathBytes is the maximum length of a target path.
const maxPathBytes = 512

// IsSafePath reports whether a target path is relative and cannot point outside its folder on any operating system.
// Control characters, invalid UTF-8 and paths longer than maxPathBytes are rejected too.
func IsSafePath(path string) bool {
	if path == "" || len(path) > maxPathBytes || strings.ContainsAny(path, "\\:\x00") {
		return false
	}
	for part := range strings.SplitSeq(path, "/") {
		if part == "" || part == "." || part == ".." {
			return false
		}
	}
	for _, r := range path {
		if r < ' ' || r == 0x7f || r == '\uFFFD' {
			return false
		}
	}
	return true
}
