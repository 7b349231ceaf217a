package gatewaytest

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// ThreadTime is the scheduling time of one thread or the sum of several.
type ThreadTime struct {
	Ran    time.Duration // on a processor
	Waited time.Duration // for a processor, while runnable
}

// ProcessorTime holds the scheduling times of a process's threads by thread id, from the kernel's schedstat files.
type ProcessorTime map[string]ThreadTime

// Since returns the times that were added since an earlier reading.
func (p ProcessorTime) Since(earlier ProcessorTime) ProcessorTime {
	since := ProcessorTime{}
	for id, thread := range p {
		since[id] = ThreadTime{Ran: thread.Ran - earlier[id].Ran, Waited: thread.Waited - earlier[id].Waited}
	}
	return since
}

// Sum returns the sum of the times of all threads.
func (p ProcessorTime) Sum() (sum ThreadTime) {
	for _, thread := range p { // the sum does not depend on the order
		sum.Ran += thread.Ran
		sum.Waited += thread.Waited
	}
	return sum
}

// LongestWait returns the longest time that any thread waited for a processor.
func (p ProcessorTime) LongestWait() (longest time.Duration) {
	for _, thread := range p {
		longest = max(longest, thread.Waited)
	}
	return longest
}

// String formats the times for a log.
func (p ProcessorTime) String() string {
	sum := p.Sum()
	return fmt.Sprintf("ran for %v, waited for a processor for %v, the thread that waited longest for %v",
		sum.Ran.Round(time.Millisecond), sum.Waited.Round(time.Millisecond), p.LongestWait().Round(time.Millisecond))
}

// ProcessorTime reads the times of a gateway's process. The result is empty if the process has ended.
func (f *Fleet) ProcessorTime(gateway int) ProcessorTime {
	return ReadProcessorTime(f.t, f.processes[gateway].command.Process.Pid)
}

// ReadProcessorTime reads the times of a process. The result is empty if the process has ended.
func ReadProcessorTime(t *testing.T, pid int) ProcessorTime {
	threads := ProcessorTime{}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended in the meantime
		}
		var thread ThreadTime
		if _, err := fmt.Sscan(string(text), &thread.Ran, &thread.Waited); err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		threads[filepath.Base(filepath.Dir(file))] = thread
	}
	return threads
}
