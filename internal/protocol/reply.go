package protocol

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"laurelring/choice"
)

// ValueMost is the size of the largest value.
const ValueMost = 64 << 10

const (
	lineMost = 4 << 10 // the longest line that frames or tells of an error
	headMost = 32      // the longest line that frames
	wordMost = 1 << 10 // the longest word but the value
	partMost = 8       // an array holds no more
)

// ReplyMost is what a buffer needs to hold one reply.
const ReplyMost = ValueMost + lineMost

var errDamaged = errors.New("damaged reply")

// Reply reads the replies of an instance, one after the other.
type Reply struct {
	at    int // bytes of the present reply that are understood
	array bool
	left  int // parts of its array still to come
	part  int // parts read
	value span
	load  span
}

// span is a part of the buffer that holds a word; a null has no start.
type span struct{ from, to int }

// Next reads on in what the buffer holds. Once a reply is whole it gives how the delivery ended, the value
// and the load report, both copied, and drops the reply from the buffer. An error is damage: nothing that
// follows can be trusted.
func (r *Reply) Next(b *Buffer) (how choice.Outcome, value, load []byte, done bool, err error) {
	for {
		data := b.Bytes()
		line, size, err := lineOf(data[r.at:])
		if err != nil || size == 0 {
			return 0, nil, nil, false, err
		}
		if !r.array {
			switch line[0] {
			case '-':
				how, load := refusal(string(line[1:]))
				r.end(b, size)
				return how, nil, load, true, nil
			case '*':
				n, err := strconv.Atoi(string(line[1:]))
				if err != nil || n < 1 || n > partMost {
					return 0, nil, nil, false, errDamaged
				}
				r.array, r.left, r.at = true, n, r.at+size
				continue
			}
		}
		whole := size
		var word span
		switch line[0] {
		case '$':
			n, err := strconv.Atoi(string(line[1:]))
			if err != nil || n < -1 || n > ValueMost || n > wordMost && r.part > 0 {
				return 0, nil, nil, false, errDamaged
			}
			if n < 0 {
				break
			}
			whole = size + n + 2
			if len(data)-r.at < whole {
				return 0, nil, nil, false, nil
			}
			if data[r.at+whole-2] != '\r' || data[r.at+whole-1] != '\n' {
				return 0, nil, nil, false, errDamaged
			}
			word = span{r.at + size, r.at + whole - 2}
		case '+':
			word = span{r.at + 1, r.at + len(line)}
		case ':':
		default:
			return 0, nil, nil, false, errDamaged
		}
		if r.part == 0 {
			r.value = word
		} else {
			r.load = word
		}
		r.at += whole
		r.part++
		if r.left--; r.array && r.left > 0 {
			continue
		}
		value, load = bytes.Clone(data[r.value.from:r.value.to]), bytes.Clone(data[r.load.from:r.load.to])
		how = choice.Acked
		if !r.array { // the answer to a probe
			value, load = nil, value
		} else if r.value.from == 0 { // a null is no value
			how, value = choice.Errored, nil
		}
		r.end(b, 0)
		return how, value, load, true, nil
	}
}

// Begun tells whether a reply has begun and is not whole.
func (r *Reply) Begun(b *Buffer) bool { return len(b.Bytes()) > 0 }

func (r *Reply) end(b *Buffer, more int) {
	b.Drop(r.at + more)
	*r = Reply{}
}

// lineOf gives the line that the data begins with, without its end, and its size with it; 0 while it is not
// whole.
func lineOf(data []byte) ([]byte, int, error) {
	at := bytes.IndexByte(data[:min(len(data), lineMost)], '\n')
	switch {
	case at < 0 && len(data) >= lineMost:
		return nil, 0, errDamaged
	case at < 0 && len(data) >= headMost && data[0] != '-' && data[0] != '+':
		return nil, 0, errDamaged
	case at < 0:
		return nil, 0, nil
	case at < 2 || data[at-1] != '\r' || at > headMost && data[0] != '-' && data[0] != '+':
		return nil, 0, errDamaged
	}
	return data[:at-1], at + 1, nil
}

// refusal reads an error line: only one that says busy proves that the command never ran. A load report may
// stand last.
func refusal(line string) (choice.Outcome, []byte) {
	how := choice.Errored
	word, _, _ := strings.Cut(line, " ")
	if word == "BUSY" {
		how = choice.Rejected
	}
	if last := line[strings.LastIndexByte(line, ' ')+1:]; strings.Contains(last, "=") {
		return how, []byte(last)
	}
	return how, nil
}

// Load finds a field's figure in a load report.
func Load(report []byte, field string) (float64, bool) {
	if len(report) == 0 || field == "" {
		return 0, false
	}
	for _, one := range strings.Split(string(report), ",") {
		if name, text, _ := strings.Cut(one, "="); name == field {
			v, err := strconv.ParseFloat(text, 64)
			return v, err == nil && v >= 0 && v < 1e6
		}
	}
	return 0, false
}
