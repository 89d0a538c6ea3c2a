package matcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/matcher"
)

func testIndex() *matcher.Index {
	return matcher.New(&figseam.Table{Routes: []figseam.HostRoute{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}})
}

func TestFindReturnsRouteWithLongestPrefixOfHost(t *testing.T) {
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/y/", "long"},
		{"a.example", "/x", "all"},
		{"a.example", "/xy/z", "all"},
		{"a.example", "//x/", "all"},
		{"A.Example", "/x/", "short"},
		{"a.example:8080", "/x/", "short"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "", ""},
	}
	for _, test := range tests {
		t.Run(test.host+test.path, func(t *testing.T) {
			r, ok := testIndex().Find(test.host, test.path)
			require.Equal(t, test.want != "", ok)
			if ok {
				require.Equal(t, test.want, r.Name)
			}
		})
	}
}

func TestPickServiceFollowsTheWeights(t *testing.T) {
	r := &figseam.HostRoute{WeightedServices: []figseam.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := map[string]int{}
	for range 10_000 {
		counts[matcher.PickService(r)]++
	}
	require.InDelta(t, 9000, counts["a"], 200)
	require.InDelta(t, 1000, counts["b"], 200)
	require.Zero(t, counts["c"])
	require.Empty(t, matcher.PickService(&figseam.HostRoute{}))
}

func ExampleIndex_Find() {
	r, ok := testIndex().Find("a.example", "/x/y/z")
	fmt.Println(r.Name, ok)
	// Output: long true
}

// TestRankFollowsAccountThenRoute guards against a route's priority that goes before that of the
// account, and against ranks that differ between instances with the same table.
func TestRankFollowsAccountThenRoute(t *testing.T) {
	weighted := []figseam.WeightedService{{Service: "pool", Weight: 1}}
	x := matcher.New(&figseam.Table{
		Routes: []figseam.HostRoute{
			{PathPrefix: "/a/", Priority: 1, IsModelRoute: true, WeightedServices: weighted},
			{PathPrefix: "/b/", Priority: 5, IsModelRoute: true, WeightedServices: weighted},
			{PathPrefix: "/c/", Priority: 0, WeightedServices: weighted},
		},
		Accounts: map[figseam.Account]*figseam.ClientAccount{"x": {Priority: 2}, "y": {Priority: 0}, "z": {Priority: 2}},
	})
	tests := []struct{ account, route, want int }{{0, 1, 0}, {0, 5, 1}, {2, 1, 2}, {2, 5, 3}}
	for _, tt := range tests {
		require.Equal(t, tt.want, x.Rank("pool", tt.account, tt.route))
	}
	require.Equal(t, 4, x.RankCount("pool"))
	require.Zero(t, x.RankCount("desk"))
	require.Zero(t, x.Rank("desk", 2, 5))
}
