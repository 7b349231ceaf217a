package gatewaytest

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// ProcessorTime is what the threads of a process did with the processor, by the kernel's schedstat.
type ProcessorTime struct {
	Ran, Waited   time.Duration // all threads together; Waited is for a processor while they could have run
	LongestWaited time.Duration // by one thread
}

// Sub returns the times since an earlier reading. LongestWaited stays within what all threads waited since.
func (p ProcessorTime) Sub(earlier ProcessorTime) ProcessorTime {
	waited := p.Waited - earlier.Waited
	return ProcessorTime{Ran: p.Ran - earlier.Ran, Waited: waited, LongestWaited: min(p.LongestWaited-earlier.LongestWaited, waited)}
}

// String returns the times for a log.
func (p ProcessorTime) String() string {
	return fmt.Sprintf("ran for %v, waited for a processor for %v, the thread that waited longest for %v",
		p.Ran.Round(time.Millisecond), p.Waited.Round(time.Millisecond), p.LongestWaited.Round(time.Millisecond))
}

// ProcessorTime reads the times of a gateway's process, zero where it has ended.
func (f *Fleet) ProcessorTime(gateway int) (sum ProcessorTime) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", f.processes[gateway].command.Process.Pid))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended meanwhile
		}
		var ran, waited time.Duration
		if _, err := fmt.Sscan(string(text), &ran, &waited); err != nil {
			f.t.Errorf("%s: %v", file, err)
			continue
		}
		sum.Ran += ran
		sum.Waited += waited
		sum.LongestWaited = max(sum.LongestWaited, waited)
	}
	return sum
}
