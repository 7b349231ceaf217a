package simhost

import (
	"encoding/binary"

	"laurelring/choice"
)

// packTotals lays a gateway's running totals out as a message to its peers.
func packTotals(t *choice.Totals) []byte {
	b := binary.LittleEndian.AppendUint64(nil, uint64(t.At))
	b = binary.LittleEndian.AppendUint16(b, uint16(t.Build))
	b = append(b, uint8(len(t.Cells)))
	for _, n := range t.Cells {
		b = binary.AppendUvarint(b, uint64(n))
	}
	return b
}

// unpackTotals reads such a message; nil for anything else.
func unpackTotals(text []byte, from int) *choice.Totals {
	if len(text) < 11 {
		return nil
	}
	t := &choice.Totals{From: from, At: int64(binary.LittleEndian.Uint64(text)),
		Build: int(binary.LittleEndian.Uint16(text[8:])), Cells: make([]uint32, text[10])}
	rest := text[11:]
	for i := range t.Cells {
		n, used := binary.Uvarint(rest)
		if used <= 0 || n > 1<<32-1 {
			return nil
		}
		t.Cells[i], rest = uint32(n), rest[used:]
	}
	return t
}
