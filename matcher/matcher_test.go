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
		{Name: "loopback", Host: "[::1]", PathPrefix: "/x/"},
		{Name: "letter", Host: "k.example", PathPrefix: "/x/"},
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
		{"a.example.", "/x/", "short"},
		{"A.EXAMPLE.:8080", "/x/", "short"},
		{"a.example:", "/x/", "short"},
		{"a.example", "/%78/1", "all"},
		{"a.example", "/X/1", "all"},
		{"[::1]", "/x/", "loopback"},
		{"[::1]:8080", "/x/", "loopback"},
		{"::1", "/x/", ""},
		{"\u212a.example", "/x/", ""},
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

// TestConflictIsWhatFindCannotTellApart guards against a comparison of routes that differs
// from the search for them: hosts in another letter case were taken for different ones when a
// configuration was checked, and for the same one when a request arrived.
func TestConflictIsWhatFindCannotTellApart(t *testing.T) {
	hosts := []string{
		"a.example", "A.example", "a.EXAMPLE", "a.example.", "A.Example.", "a.example:", "a.example.:", "a.example..",
		"a.example:80", "A.example.:80", "a.example:8080", "b.example", "\u212a.example", "k.example", "K.example",
		"[::1]", "[::1]:80", "::1", "[0::1]", "",
	}
	prefixes := []string{"/x/", "/X/", "/%78/", "/x/y/", "//x/"}
	for _, firstHost := range hosts {
		for _, secondHost := range hosts {
			for _, prefix := range prefixes {
				x := matcher.New(&figseam.Table{Routes: []figseam.HostRoute{
					{Name: "first", Host: firstHost, PathPrefix: "/x/"}, {Name: "second", Host: secondHost, PathPrefix: prefix},
				}})
				found, ok := x.Find(firstHost, "/x/1")
				require.True(t, ok, "%q", firstHost)
				if len(x.Conflicts()) == 0 {
					require.Equal(t, "first", found.Name, "%q and %q%s", firstHost, secondHost, prefix)
					continue
				}
				require.Equal(t, "second", found.Name, "%q and %q%s", firstHost, secondHost, prefix)
				require.Equal(t, "first", x.Conflicts()[0].Hidden.Name)
			}
		}
	}
}
