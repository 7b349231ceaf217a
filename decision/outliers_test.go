package decision

import "testing"

func TestMedianExcludesOwnValue(t *testing.T) {
	for name, c := range map[string]struct {
		sorted    []float64
		own, want float64
	}{
		"lowest of three":  {[]float64{1, 2, 3}, 1, 3},
		"highest of three": {[]float64{1, 2, 3}, 3, 2},
		"lowest of four":   {[]float64{1, 2, 3, 4}, 1, 3},
		"highest of four":  {[]float64{1, 2, 3, 4}, 4, 2},
		"highest of two":   {[]float64{1, 2}, 2, 1},
	} {
		if got := medianExcluding(c.sorted, c.own); got != c.want {
			t.Errorf("%s: got median %v of the other values, want %v", name, got, c.want)
		}
	}
}

func TestEndpointWithFarMoreLossesThanItsBuildIsOutlier(t *testing.T) {
	gateway := withEndpoints(newTestGateway(1, PromoteByAnyVote), 4)
	for i, endpoint := range gateway.endpoints {
		losses := 0
		if i == 0 {
			losses = 20
		}
		endpoint.recordResults(10, losses, gateway.now)
	}
	gateway.balancer.updateRatesByBuild()
	if outliers := gateway.balancer.detectOutliers(gateway.now); len(outliers) != 1 || outliers[0] != gateway.endpoints[0] {
		t.Errorf("got %d outliers, want only the endpoint that lost attempts", len(outliers))
	}
	for _, endpoint := range gateway.endpoints {
		endpoint.recordResults(0, 20, gateway.now)
		endpoint.outlierUntil = 0
	}
	gateway.balancer.updateRatesByBuild()
	if outliers := gateway.balancer.detectOutliers(gateway.now); len(outliers) != 0 {
		t.Errorf("got %d outliers while all endpoints of the build lose attempts, want none", len(outliers))
	}
}
