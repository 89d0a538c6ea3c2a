package explainer_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

// TestEveryReasonCodeHasAnEntry guards against a code constant without a catalogue entry.
// It parses catalogue.go, so that new constants are included.
func TestEveryReasonCodeHasAnEntry(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	require.NoError(t, err)
	codes := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		if !ok {
			return true
		}
		code, err := strconv.Unquote(literal.Value)
		require.NoError(t, err)
		_, found := explainer.Lookup(figseam.Code(code))
		require.True(t, found, "code %s has no entry", code)
		codes++
		return true
	})
	require.Greater(t, codes, 20)
}

func TestEntriesAreCompleteAndUnique(t *testing.T) {
	seen := map[figseam.Code]bool{}
	for _, e := range explainer.All() {
		require.False(t, seen[e.Code], "%s", e.Code)
		seen[e.Code] = true
		require.NotEmpty(t, e.Title)
		require.NotEmpty(t, e.Description)
		require.NotEmpty(t, e.Action)
		require.NotEmpty(t, e.Since)
	}
}

func ExampleLookup() {
	e, _ := explainer.Lookup(explainer.NoAvailableEngine)
	fmt.Println(e.Title)
	// Output: No engine takes work
}
