package main

import (
	"strings"
	"testing"
	"time"

	"laurelring/internal/gatewaytest"
)

// A single gateway votes to promote a canary build that serves well, but not before the build's endpoint has run for
// 3 s. The vote is a call of the controller's verdict method and names the build and stage of the rollout status.
func TestVotesToPromoteGoodBuild(t *testing.T) {
	gateway := startGatewayWith(t, 1024, strings.Replace(gatewaytest.Settings, `"balancers":2`, `"balancers":1`, 1))
	stable, canary := gatewaytest.ReadyEndpoint("s-1", gateway.endpoint.Listen()), gatewaytest.ReadyEndpoint("s-2", gateway.endpoint.Listen())
	canary.Build = 2
	canary.UpSince = time.Now().UnixMilli()
	gateway.discovery.Lists <- gatewaytest.EndpointList{Revision: 2, Endpoints: []gatewaytest.EndpointRecord{stable, canary}}.Text()
	gateway.rollout.SetStatus(`{"release":2,"tranche":1,"mode":"testing","exposure":0.5,"old_ms":0}`)
	statusSetAt := time.Now()
	for len(gateway.rollout.Votes()) == 0 && time.Since(statusSetAt) < 15*time.Second {
		gateway.ask(20*time.Millisecond, gatewaytest.ReadRequest("a"))
	}
	votes := gateway.rollout.Votes()
	if len(votes) == 0 {
		t.Fatal("no vote within 15 s")
	}
	if after := time.Since(statusSetAt); after < 3*time.Second {
		t.Errorf("got the first vote after %v, want 3 s at least", after)
	}
	for _, part := range []string{`"method":"verdict"`, `"release":2`, `"tranche":1`, `"ruling":"promote"`} {
		if !strings.Contains(votes[0], part) {
			t.Errorf("got vote %s, want one with %s", votes[0], part)
		}
	}
}
