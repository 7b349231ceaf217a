package gatewaytest

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// ThreadTime is what one thread did with the processor.
type ThreadTime struct {
	Ran    time.Duration
	Waited time.Duration // for a processor, while it could have run
}

// ProcessorTime is what the threads of a process did with the processor, by the kernel's schedstat and their ids.
type ProcessorTime map[string]ThreadTime

// Since returns the times since an earlier reading.
func (p ProcessorTime) Since(earlier ProcessorTime) ProcessorTime {
	since := ProcessorTime{}
	for id, thread := range p {
		since[id] = ThreadTime{Ran: thread.Ran - earlier[id].Ran, Waited: thread.Waited - earlier[id].Waited}
	}
	return since
}

// Sum returns the times of all threads together.
func (p ProcessorTime) Sum() (sum ThreadTime) {
	for _, thread := range p { // each is added by itself: any order will do
		sum.Ran += thread.Ran
		sum.Waited += thread.Waited
	}
	return sum
}

// LongestWait returns the time of the thread that waited longest for a processor.
func (p ProcessorTime) LongestWait() (longest time.Duration) {
	for _, thread := range p {
		longest = max(longest, thread.Waited)
	}
	return longest
}

// String returns the times for a log.
func (p ProcessorTime) String() string {
	sum := p.Sum()
	return fmt.Sprintf("ran for %v, waited for a processor for %v, the thread that waited longest for %v",
		sum.Ran.Round(time.Millisecond), sum.Waited.Round(time.Millisecond), p.LongestWait().Round(time.Millisecond))
}

// ProcessorTime reads the times of a gateway's process, none where it has ended.
func (f *Fleet) ProcessorTime(gateway int) ProcessorTime {
	threads := ProcessorTime{}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", f.processes[gateway].command.Process.Pid))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended meanwhile
		}
		var thread ThreadTime
		if _, err := fmt.Sscan(string(text), &thread.Ran, &thread.Waited); err != nil {
			f.t.Errorf("%s: %v", file, err)
			continue
		}
		threads[filepath.Base(filepath.Dir(file))] = thread
	}
	return threads
}
