package verifiedmetadata

import "strings"

const maxPathBytes = 512

// IsSafePath reports whether a target path stays within its folder on any operating system.
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
