package checker_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/checker"
	"github.com/figseam/figseam/decoder"
	"github.com/figseam/figseam/explainer"
)

// validObjects is a set without faults. In the file that parseAndCheck makes of it,
// object i is on line i+2.
var validObjects = []string{
	`{"kind":"pool","name":"lm-pool","piece_tokens":1000,"early_start":0.5,"hold_ms":800,"prefill_tokens_per_s":9000,"step_ms":19,"transfer_tokens_per_s":60000,"slots":20}`,
	`{"kind":"endpoint","name":"p1","pool":"lm-pool","address":"http://127.0.0.1:1","data_centre":"norte-a","role":"prefill","pieces":48}`,
	`{"kind":"endpoint","name":"d1","pool":"lm-pool","address":"http://127.0.0.1:2","data_centre":"norte-a","role":"decode","pieces":48}`,
	`{"kind":"endpoint","name":"s1","service":"shop-api","address":"http://127.0.0.1:3","data_centre":"norte-a"}`,
	`{"kind":"service","name":"shop-api","key_check":"none"}`,
	`{"kind":"model","name":"lm","pool":"lm-pool","expected_output_tokens":90,"max_output_tokens":1000}`,
	`{"kind":"route","name":"assistant","model":"lm","first_token_ms":1300,"between_tokens_ms":25,"retries":3}`,
	`{"kind":"route","name":"orders","service":"shop-api","path_prefix":"/orders","timeout_ms":5000}`,
	`{"kind":"account_class","name":"gold","requests_per_s":5,"burst":10}`,
	`{"kind":"account","name":"faro","class":"gold"}`,
}

func parseAndCheck(objects []string) []decoder.Fault {
	parsed, faults := checker.Parse("set.json", []byte("[\n"+strings.Join(objects, ",\n")+"\n]"))
	return append(faults, checker.Check(parsed)...)
}

func TestValidSetHasNoFaults(t *testing.T) {
	require.Empty(t, parseAndCheck(validObjects))
}

// faultCases are changes to one line of the valid set, each with the fault that it must
// cause.
var faultCases = []struct {
	line   int
	old    string
	new    string
	code   figseam.Code
	object string
	field  string
}{
	{2, `"slots":20`, `"slots":20,"colour":"red"`, decoder.CodeUnknownField, "pool/lm-pool", "colour"},
	{2, `"slots":20`, `"slots":20,"slots":20`, decoder.CodeRepeatedField, "pool/lm-pool", "slots"},
	{2, `"slots":20`, `"slots":"20"`, decoder.CodeWrongType, "pool/lm-pool", "slots"},
	{2, `"slots":20`, `"slots":2.5`, decoder.CodeWrongType, "pool/lm-pool", "slots"},
	{2, `"slots":20`, `"slots":0`, checker.CodeOutOfRange, "pool/lm-pool", "slots"},
	{2, `,"slots":20`, ``, checker.CodeMissingField, "pool/lm-pool", "slots"},
	{2, `"early_start":0.5`, `"early_start":1.5`, checker.CodeOutOfRange, "pool/lm-pool", "early_start"},
	{3, `"role":"prefill"`, `"role":"both"`, checker.CodeOutOfRange, "endpoint/p1", "role"},
	{3, `http://127.0.0.1:1`, `127.0.0.1`, checker.CodeOutOfRange, "endpoint/p1", "address"},
	{3, `"pool":"lm-pool"`, `"pool":"gone"`, checker.CodeDanglingReference, "endpoint/p1", "pool"},
	{3, `"pool":"lm-pool"`, `"pool":"lm-pool","service":"shop-api"`, checker.CodeConflictingFields, "endpoint/p1", "service"},
	{4, `"role":"decode"`, `"role":"prefill"`, checker.CodeMissingRole, "model/lm", "pool"},
	{4, `"name":"d1"`, `"name":"p1"`, checker.CodeDuplicateObject, "endpoint/p1", "name"},
	{6, `"key_check":"none"`, `"key_check":"some"`, checker.CodeOutOfRange, "service/shop-api", "key_check"},
	{6, `"kind":"service"`, `"kind":"servant"`, checker.CodeUnknownKind, "servant/shop-api", "kind"},
	{7, `"pool":"lm-pool"`, `"pool":"none"`, checker.CodeDanglingReference, "model/lm", "pool"},
	{8, `"model":"lm"`, `"model":"ml"`, checker.CodeDanglingReference, "route/assistant", "model"},
	{8, `"between_tokens_ms":25`, `"between_tokens_ms":5`, checker.CodeUnattainableTarget, "route/assistant", "between_tokens_ms"},
	{8, `"retries":3`, `"retries":-1`, checker.CodeOutOfRange, "route/assistant", "retries"},
	{9, `"timeout_ms":5000`, `"timeout_ms":0`, checker.CodeOutOfRange, "route/orders", "timeout_ms"},
	{11, `"class":"gold"`, `"class":"lead"`, checker.CodeDanglingReference, "account/faro", "class"},
	{11, `"kind":"account",`, ``, checker.CodeMissingField, "faro", "kind"},
	{11, `"kind":"account"`, `"kind":"account"]`, decoder.CodeSyntax, "", ""},
}

func TestFaultIsReportedWithItsPosition(t *testing.T) {
	for _, c := range faultCases {
		t.Run(fmt.Sprintf("%d %s", c.line, c.new), func(t *testing.T) {
			objects := append([]string(nil), validObjects...)
			require.Contains(t, objects[c.line-2], c.old)
			objects[c.line-2] = strings.Replace(objects[c.line-2], c.old, c.new, 1)
			faults := parseAndCheck(objects)
			for _, f := range faults {
				if f.Code == c.code && f.Object == c.object && f.Field == c.field {
					// A missing role is reported on the line of the model, not of the engine.
					if c.code != checker.CodeMissingRole {
						require.Equal(t, c.line, f.Line, f.Error())
					}
					return
				}
			}
			require.Failf(t, "fault is not listed", "%v", faults)
		})
	}
}

// TestFaultsOfAllObjectsAreReportedTogether guards against a check that stops at the first
// invalid object: every object of the set has an unknown field.
func TestFaultsOfAllObjectsAreReportedTogether(t *testing.T) {
	var objects []string
	for _, o := range validObjects {
		objects = append(objects, strings.Replace(o, `{`, `{"extra":1,`, 1))
	}
	require.Len(t, parseAndCheck(objects), len(validObjects))
}

// TestEveryFaultCodeHasACatalogueEntry guards against a fault code that "figctl explain"
// cannot look up. It covers the codes in faultCases.
func TestEveryFaultCodeHasACatalogueEntry(t *testing.T) {
	for _, c := range faultCases {
		_, ok := explainer.Lookup(c.code)
		require.True(t, ok, "%s", c.code)
	}
}

// TestHiddenRoutesAreFaults guards against a route that is published and never found, so that its
// calls run by the rules of another route.
func TestHiddenRoutesAreFaults(t *testing.T) {
	route := func(name, rest string) string {
		return `{"kind":"route","name":"` + name + `","service":"shop-api","timeout_ms":5000` + rest + `}`
	}
	tests := []struct {
		name   string
		routes []string
		hidden []string
	}{
		{"same prefix", []string{route("b", `,"path_prefix":"/x"`), route("a", `,"path_prefix":"/x"`)}, []string{"route/b"}},
		{"no prefix", []string{route("a", ""), route("b", "")}, []string{"route/b"}},
		{"longer prefix", []string{route("a", `,"path_prefix":"/x"`), route("b", `,"path_prefix":"/x/"`)}, nil},
		{"other methods", []string{route("a", `,"methods":["GET"]`), route("b", `,"methods":["POST"]`)}, nil},
		{"a method and the others", []string{route("a", `,"methods":["POST"]`), route("b", "")}, nil},
		{"all methods before one", []string{route("a", ""), route("b", `,"methods":["POST"]`)}, []string{"route/b"}},
		{"one shared method", []string{route("a", `,"methods":["GET","POST"]`), route("b", `,"methods":["POST","PUT"]`)}, []string{"route/b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var hidden []string
			for _, f := range parseAndCheck(append(validObjects[:len(validObjects):len(validObjects)], tt.routes...)) {
				require.Equal(t, checker.CodeHiddenRoute, f.Code)
				hidden = append(hidden, f.Object)
			}
			require.Equal(t, tt.hidden, hidden)
		})
	}
}
