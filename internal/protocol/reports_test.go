package protocol

import (
	"slices"
	"testing"

	"laurelring/decision"
	"laurelring/decision/gossip"
)

// Intact datagrams are decoded to what was encoded. Datagrams that are truncated, too long or of another type are
// rejected.
func TestRejectsDamagedDatagrams(t *testing.T) {
	endpoint := &decision.Endpoint{}
	numberOf := func(*decision.Endpoint) uint32 { return 9 }
	endpointOf := func(number uint32) *decision.Endpoint { return map[uint32]*decision.Endpoint{9: endpoint}[number] }
	evidence := EncodeEvidenceReport(&decision.EvidenceReport{CountedAt: 5, Build: 2, Counters: []uint32{1, 300, 70000},
		Observations: []decision.Observation{{Endpoint: endpoint, Utilization: 0.5, Successes: 3, Losses: 1}}}, numberOf)
	report := EncodeVoterReport(&decision.VoterReport{FoundAt: 5, Build: 2, Outliers: []*decision.Endpoint{endpoint}}, numberOf)
	gotEvidence, gotReport := DecodeEvidenceReport(evidence, 1, endpointOf), DecodeVoterReport(report, 1, endpointOf)
	if gotEvidence == nil || gotEvidence.Counters[2] != 70000 || len(gotEvidence.Observations) != 1 ||
		gotReport == nil || len(gotReport.Outliers) != 1 {
		t.Errorf("got evidence report %v and voter report %v, want those that were encoded", gotEvidence, gotReport)
	}
	query := EncodeGossipQuery(gossip.Query{Revision: 300, Age: 2e9})
	view := EncodeGossipView(gossip.View{Revision: 300, Age: 2e9, Part: 1, Parts: 3, Ready: make([]uint32, MaxIncarnationsPerView)})
	gotQuery, ok := DecodeGossipQuery(query)
	if !ok || gotQuery != (gossip.Query{Revision: 300, Age: 2e9}) {
		t.Errorf("got query %+v, want the one that was encoded", gotQuery)
	}
	if v, ok := DecodeGossipView(view); !ok || v.Revision != 300 || v.Age != 2e9 || v.Part != 1 || v.Parts != 3 ||
		len(v.Ready) != MaxIncarnationsPerView || len(view) > MaxDatagramSize {
		t.Errorf("view of %d bytes: got %+v, want the one that was encoded, in at most 256 bytes", len(view), v)
	}
	for _, whole := range [][]byte{evidence, report, query, view} {
		for _, damaged := range [][]byte{whole[:len(whole)-1], append(slices.Clone(whole), 0), {whole[0]}, {7, 7}, {}} {
			_, isQuery := DecodeGossipQuery(damaged)
			_, isView := DecodeGossipView(damaged)
			if DecodeEvidenceReport(damaged, 1, endpointOf) != nil || DecodeVoterReport(damaged, 1, endpointOf) != nil || isQuery || isView {
				t.Errorf("damaged datagram %x was accepted", damaged)
			}
		}
	}
}
