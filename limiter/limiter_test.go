package limiter_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam/limiter"
)

// endlessReader returns the same byte without end and counts the bytes.
type endlessReader struct{ read int }

func (r *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	r.read += len(p)
	return len(p), nil
}

func ExampleBudget_ReadBody() {
	budget := limiter.NewBudget(1 << 20)
	_, err := budget.ReadBody(strings.NewReader("four"), 3)
	fmt.Println(err)
	body, err := budget.ReadBody(strings.NewReader("four"), 4)
	fmt.Println(string(body.Bytes()), err)
	body.Release()
	// Output:
	// body is too large
	// four <nil>
}

func TestHeadReaderStopsEndlessHead(t *testing.T) {
	source := &endlessReader{}
	r := limiter.NewHeadReader(source)
	r.Begin()
	n, err := io.Copy(io.Discard, r)
	require.ErrorIs(t, err, limiter.ErrHeadTooLarge)
	require.EqualValues(t, limiter.MaxHeadBytes, n)
	require.Equal(t, limiter.MaxHeadBytes, source.read)
	r.End()
	n, err = io.CopyN(io.Discard, r, 2*limiter.MaxHeadBytes)
	require.NoError(t, err, "the body after a head is not bounded")
	require.EqualValues(t, 2*limiter.MaxHeadBytes, n)
}

func TestReadBodyStopsEndlessBody(t *testing.T) {
	tests := []struct {
		name          string
		budget        int64
		err           error
		mostBytesRead int
	}{
		{"limit of the body", 1 << 30, limiter.ErrBodyTooLarge, 1<<20 + 16<<10},
		{"limit of all bodies", 100_000, limiter.ErrBudgetExhausted, 100_000 + 64<<10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := limiter.NewBudget(test.budget)
			source := &endlessReader{}
			_, err := budget.ReadBody(source, 1<<20)
			require.ErrorIs(t, err, test.err)
			require.LessOrEqual(t, source.read, test.mostBytesRead)
			small, err := budget.ReadBody(strings.NewReader("small"), 1<<20)
			require.NoError(t, err)
			require.Equal(t, 5, small.Len())
		})
	}
}

// TestBodiesEqualSourceAndReturnTheirMemory reads and releases bodies in any order and
// compares them with bytes.Buffer and a plain count of the memory.
func TestBodiesEqualSourceAndReturnTheirMemory(t *testing.T) {
	const budgetBytes = 200_000
	rapid.Check(t, func(t *rapid.T) {
		budget := limiter.NewBudget(budgetBytes)
		var held []*limiter.Body
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				want := bytes.Repeat([]byte(rapid.StringMatching("[a-z]{1,9}").Draw(t, "pattern")), rapid.IntRange(0, 20_000).Draw(t, "repeats"))
				body, err := budget.ReadBody(iotest.HalfReader(bytes.NewReader(want)), 100_000)
				if len(want) > 100_000 {
					require.Error(t, err)
					return
				}
				if err != nil {
					require.ErrorIs(t, err, limiter.ErrBudgetExhausted)
					require.NotEmpty(t, held, "a single body fits in the budget")
					return
				}
				held = append(held, body)
				var written bytes.Buffer
				n, err := body.WriteTo(&written)
				require.NoError(t, err)
				require.EqualValues(t, len(want), n)
				require.Equal(t, string(want), written.String())
				require.Equal(t, string(want), string(body.Bytes()))
			},
			"release": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip("no body is held")
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "body")
				held[i].Release()
				held[i].Release()
				held = append(held[:i], held[i+1:]...)
			},
		})
		for _, b := range held {
			b.Release()
		}
		whole, err := budget.ReadBody(io.LimitReader(&endlessReader{}, budgetBytes), budgetBytes)
		require.NoError(t, err, "released bodies returned all memory")
		whole.Release()
	})
}
