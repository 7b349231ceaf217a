package protocol

import (
	"slices"
	"testing"

	"laurelring/choice"
)

// A message between gateways that is cut short, too long or of another kind changes nothing.
func TestDamagedMessages(t *testing.T) {
	it := &choice.Instance{}
	id := func(*choice.Instance) uint32 { return 9 }
	named := func(id uint32) *choice.Instance { return map[uint32]*choice.Instance{9: it}[id] }
	totals := PackTotals(&choice.Totals{At: 5, Build: 2, Cells: []uint32{1, 300, 70000},
		Sights: []choice.Sight{{Of: it, Busy: 0.5, Acked: 3, Lost: 1}}}, id)
	finding := PackFinding(&choice.Finding{At: 5, Build: 2, Ill: []*choice.Instance{it}}, id)
	told, found := UnpackTotals(totals, 1, named), UnpackFinding(finding, 1, named)
	if told == nil || told.Cells[2] != 70000 || len(told.Sights) != 1 || found == nil || len(found.Ill) != 1 {
		t.Errorf("totals came back as %v, a finding as %v", told, found)
	}
	for _, whole := range [][]byte{totals, finding} {
		for _, hurt := range [][]byte{whole[:len(whole)-1], append(slices.Clone(whole), 0), {whole[0]}, {7, 7}} {
			if UnpackTotals(hurt, 1, named) != nil || UnpackFinding(hurt, 1, named) != nil {
				t.Errorf("%x was taken for a message", hurt)
			}
		}
	}
}
