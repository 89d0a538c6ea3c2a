package decoder

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/figseam/figseam"
)

// Codes of faults in the form of a document.
const (
	CodeSyntax        figseam.Code = "json_syntax"
	CodeUnknownField  figseam.Code = "unknown_field"
	CodeRepeatedField figseam.Code = "repeated_field"
	CodeWrongType     figseam.Code = "wrong_type"
)

// Fault is one thing wrong with a document.
type Fault struct {
	File   string       `json:"file"`
	Line   int          `json:"line"`
	Object string       `json:"object,omitempty"`
	Field  string       `json:"field,omitempty"`
	Code   figseam.Code `json:"code"`
	Detail string       `json:"detail"`
}

// Error implements error with the usual file:line prefix.
func (f Fault) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	if f.Object != "" {
		fmt.Fprintf(&b, "%s: ", f.Object)
	}
	if f.Field != "" {
		fmt.Fprintf(&b, "field %q: ", f.Field)
	}
	fmt.Fprintf(&b, "%s [%s]", f.Detail, f.Code)
	return b.String()
}

// Decode fills the struct that target points to from an object. Fields are
// matched by their exact json names. It returns every fault it finds.
func Decode(file string, n Node, target any) []Fault {
	d := &filler{file: file}
	d.structure(n, reflect.ValueOf(target).Elem(), "")
	return d.faults
}

type filler struct {
	file   string
	faults []Fault
}

func (d *filler) fault(line int, field string, code figseam.Code, format string, args ...any) {
	d.faults = append(d.faults, Fault{
		File: d.file, Line: line, Field: field, Code: code, Detail: fmt.Sprintf(format, args...),
	})
}

func (d *filler) structure(n Node, v reflect.Value, path string) {
	if n.Delim != '{' {
		d.fault(n.Line, path, CodeWrongType, "expected an object, found %s", found(n))
		return
	}
	byName := fieldsByName(v.Type())
	seen := map[string]bool{}
	for _, f := range n.Fields {
		full := join(path, f.Name)
		i, ok := byName[f.Name]
		switch {
		case !ok:
			d.fault(f.Line, full, CodeUnknownField, "the field is not known here")
		case seen[f.Name]:
			d.fault(f.Line, full, CodeRepeatedField, "the field stands here a second time")
		default:
			d.value(f.Value, v.Field(i), full)
		}
		seen[f.Name] = true
	}
}

func (d *filler) value(n Node, v reflect.Value, path string) {
	if v.Kind() == reflect.Struct {
		d.structure(n, v, path)
		return
	}
	if v.Kind() == reflect.Slice && n.Delim == '[' {
		v.Set(reflect.MakeSlice(v.Type(), len(n.Elements), len(n.Elements)))
		for i, item := range n.Elements {
			d.value(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
		}
		return
	}
	if string(n.Raw) == "null" || json.Unmarshal(n.Raw, v.Addr().Interface()) != nil {
		d.fault(n.Line, path, CodeWrongType, "expected %s, found %s", expected(v), found(n))
	}
}

func fieldsByName(t reflect.Type) map[string]int {
	byName := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			byName[name] = i
		}
	}
	return byName
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func expected(v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint64:
		return "a whole number of 0 or more"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "an array"
	default:
		return "a " + v.Kind().String()
	}
}

const maxFoundBytes = 40

func found(n Node) string {
	switch {
	case n.Delim == '{':
		return "an object"
	case n.Delim == '[':
		return "an array"
	case len(n.Raw) > maxFoundBytes:
		return string(n.Raw[:maxFoundBytes]) + "…"
	default:
		return string(n.Raw)
	}
}
