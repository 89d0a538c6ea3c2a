package decoder_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam/decoder"
)

// TestAmbiguousNameFindsWhatEncodingJSONConfuses guards against names that the check takes for
// different ones and encoding/json for the same.
func TestAmbiguousNameFindsWhatEncodingJSONConfuses(t *testing.T) {
	names := []string{"host", "Host", "HOST", "ho\u017ft", "\\u0068ost", "kind", "\u212aind", "hosts", "", "a\\\"b", "A\\\"B"}
	rapid.Check(t, func(t *rapid.T) {
		first, second := rapid.SampledFrom(names).Draw(t, "first"), rapid.SampledFrom(names).Draw(t, "second")
		text := []byte(`{"` + first + `":{"x":1},"` + second + `":[{"x":"{\"x\":1,\"x\":2"}]}`)
		require.True(t, json.Valid(text), "%s", text)
		_, found := decoder.AmbiguousName(text, decoder.KnownNames{})
		require.Equal(t, confused(first, second), found, "%s", text)
	})
}

// confused reports whether encoding/json stores the values of both names in one field.
func confused(first, second string) bool {
	var v struct {
		Host  *int `json:"host"`
		Kind  *int `json:"kind"`
		Hosts *int `json:"hosts"`
	}
	var name string
	_ = json.Unmarshal([]byte(`"`+first+`"`), &name)
	var other string
	_ = json.Unmarshal([]byte(`"`+second+`"`), &other)
	if name == "" || other == "" || name[0] == 'a' || name[0] == 'A' || other[0] == 'a' || other[0] == 'A' {
		return first == second || len(name) == 3 && len(other) == 3
	}
	_ = json.Unmarshal([]byte(`{"`+first+`":1,"`+second+`":2}`), &v)
	set := 0
	for _, p := range []*int{v.Host, v.Kind, v.Hosts} {
		if p != nil {
			set++
		}
	}
	return set == 1
}

func TestAmbiguousNameComparesWithKnownNames(t *testing.T) {
	tests := []struct {
		text, want string
		found      bool
	}{
		{`{"id":1,"other":2}`, "", false},
		{`{"Id":1}`, "Id", true},
		{`{"a":{"ID":1}}`, "", false},
		{`{"a":{"ID":1,"id":2}}`, "id", true},
		{`{"a":{"b":1},"c":{"b":1,"a":2}}`, "", false},
		{`"id"`, "", false},
	}
	for _, tt := range tests {
		name, found := decoder.AmbiguousName([]byte(tt.text), decoder.NewKnownNames("id", "state"))
		require.Equal(t, tt.found, found, tt.text)
		require.Equal(t, tt.want, name, tt.text)
	}
}
