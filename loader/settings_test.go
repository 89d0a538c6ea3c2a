package loader_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/checker"
	"github.com/figseam/figseam/decoder"
	"github.com/figseam/figseam/loader"
)

const validSettings = `{
"instance": "norte-a-1",
"data_centre": "norte-a",
"region": "pt-norte",
"callers": "127.0.0.1:8080",
"operators": "127.0.0.1:8081",
"peers": "127.0.0.1:8082",
"metrics": "127.0.0.1:8083",
"seeds": ["127.0.0.1:9082"],
"voters": [{"instance": "norte-a-1", "address": "127.0.0.1:8082"}],
"data_folder": "data"
}`

func TestValidSettingsHaveNoFaults(t *testing.T) {
	s, faults := loader.Parse("s.json", []byte(validSettings))
	require.Empty(t, faults)
	require.Equal(t, figseam.InstanceID("norte-a-1"), s.Instance)
	require.Equal(t, "info", s.LogLevel)
	require.Positive(t, s.MaxBodyBytes)
}

// faultCases are changes to the valid settings, each with the fault that it must cause.
var faultCases = []struct {
	name  string
	old   string
	new   string
	code  figseam.Code
	field string
	line  int
}{
	{"unknown field", `"region"`, `"regoin"`, decoder.CodeUnknownField, "regoin", 4},
	{"repeated field", `"region": "pt-norte"`, `"region": "a", "region": "b"`, decoder.CodeRepeatedField, "region", 4},
	{"wrong type", `"pt-norte"`, `7`, decoder.CodeWrongType, "region", 4},
	{"null", `"pt-norte"`, `null`, decoder.CodeWrongType, "region", 4},
	{"nested wrong type", `"address": "127.0.0.1:8082"`, `"address": true`, decoder.CodeWrongType, "voters[0].address", 10},
	{"missing", `"region": "pt-norte",`, ``, checker.CodeMissingField, "region", 1},
	{"host name instead of IP address", `"callers": "127.0.0.1:8080"`, `"callers": "localhost:8080"`, checker.CodeOutOfRange, "callers", 5},
	{"port out of range", `127.0.0.1:8083`, `127.0.0.1:99999`, checker.CodeOutOfRange, "metrics", 8},
	{"no voters", `[{"instance": "norte-a-1", "address": "127.0.0.1:8082"}]`, `[]`, checker.CodeOutOfRange, "voters", 10},
	{"voter without data directory", `"data_folder": "data"`, `"log_level": "info"`, checker.CodeMissingField, "data_folder", 1},
	{"unknown log level", `"data_folder": "data"`, `"data_folder": "data", "log_level": "loud"`, checker.CodeOutOfRange, "log_level", 11},
	{"body limit below minimum", `"data_folder": "data"`, `"data_folder": "data", "max_body_bytes": 5`, checker.CodeOutOfRange, "max_body_bytes", 11},
	{"platform", `"data_folder": "data"`, `"data_folder": "data", "platform": "there"`, checker.CodeOutOfRange, "platform", 11},
	{"missing colon", `"region": "pt-norte",`, `"region" "pt-norte",`, decoder.CodeSyntax, "", 4},
	{"truncated text", `"data_folder": "data"
}`, `"data_folder":`, decoder.CodeSyntax, "", 11},
}

func TestFaultIsReportedWithItsPosition(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, validSettings, c.old)
			_, faults := loader.Parse("s.json", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			require.NotEmpty(t, faults)
			f := faults[0]
			require.Equal(t, c.code, f.Code, f.Error())
			require.Equal(t, c.field, f.Field, f.Error())
			require.Equal(t, c.line, f.Line, f.Error())
			require.Equal(t, "s.json", f.File)
		})
	}
}
