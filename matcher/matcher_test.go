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
