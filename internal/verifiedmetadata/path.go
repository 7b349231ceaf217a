package verifiedmetadata

import "strings"

const pathMost = 512 // bytes of a target's path

// SafePath tells whether a target's path stays in the folder that it is put into, on any system.
func IsSafePath(path string) bool {
	if path == "" || len(path) > pathMost || strings.ContainsAny(path, "\\:\x00") {
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
