package decoder

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/figseam/figseam"
)

// Codes of faults that concern the syntax or the structure of a document.
const (
	CodeSyntax        figseam.Code = "json_syntax"
	CodeUnknownField  figseam.Code = "unknown_field"
	CodeRepeatedField figseam.Code = "repeated_field"
	CodeWrongType     figseam.Code = "wrong_type"
)

// Fault is an error in a document, with its 1-based line.
type Fault struct {
	File   string       `json:"file"`
	Line   int          `json:"line"`
	Object string       `json:"object,omitempty"`
	Field  string       `json:"field,omitempty"`
	Code   figseam.Code `json:"code"`
	Detail string       `json:"detail"`
}

// Error returns the fault in one line that begins with "file:line: ".
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

// Decode sets the fields of the struct that target points to from a JSON object. Fields
// are matched by their exact json names. It returns all faults, not only the first.
func Decode(file string, n Node, target any) []Fault {
	d := &structDecoder{file: file}
	d.decodeStruct(n, reflect.ValueOf(target).Elem(), "")
	return d.faults
}

// structDecoder collects the faults of one call of [Decode].
type structDecoder struct {
	file   string
	faults []Fault
}

func (d *structDecoder) addFault(line int, field string, code figseam.Code, format string, args ...any) {
	d.faults = append(d.faults, Fault{
		File: d.file, Line: line, Field: field, Code: code, Detail: fmt.Sprintf(format, args...),
	})
}

func (d *structDecoder) decodeStruct(n Node, v reflect.Value, path string) {
	if n.Delim != '{' {
		d.addFault(n.Line, path, CodeWrongType, "expected an object, found %s", describeNode(n))
		return
	}
	indexByName := fieldIndexByName(v.Type())
	seen := map[string]bool{}
	for _, f := range n.Fields {
		fieldPath := joinPath(path, f.Name)
		i, ok := indexByName[f.Name]
		switch {
		case !ok:
			d.addFault(f.Line, fieldPath, CodeUnknownField, "the field is not known here")
		case seen[f.Name]:
			d.addFault(f.Line, fieldPath, CodeRepeatedField, "the field stands here a second time")
		default:
			d.decodeValue(f.Value, v.Field(i), fieldPath)
		}
		seen[f.Name] = true
	}
}

func (d *structDecoder) decodeValue(n Node, v reflect.Value, path string) {
	if v.Kind() == reflect.Struct {
		d.decodeStruct(n, v, path)
		return
	}
	if v.Kind() == reflect.Slice && n.Delim == '[' {
		v.Set(reflect.MakeSlice(v.Type(), len(n.Elements), len(n.Elements)))
		for i, item := range n.Elements {
			d.decodeValue(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
		}
		return
	}
	if string(n.Raw) == "null" || json.Unmarshal(n.Raw, v.Addr().Interface()) != nil {
		d.addFault(n.Line, path, CodeWrongType, "expected %s, found %s", describeType(v), describeNode(n))
	}
}

// fieldIndexByName returns the indices of the fields of t by their json names.
func fieldIndexByName(t reflect.Type) map[string]int {
	indexByName := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			indexByName[name] = i
		}
	}
	return indexByName
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// describeType returns the name of the JSON type that can be decoded into v.
func describeType(v reflect.Value) string {
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

// maxQuotedBytes bounds the part of a value that a fault quotes.
const maxQuotedBytes = 40

// describeNode returns the name of the type of an object or array, and the text of any
// other value.
func describeNode(n Node) string {
	switch {
	case n.Delim == '{':
		return "an object"
	case n.Delim == '[':
		return "an array"
	case len(n.Raw) > maxQuotedBytes:
		return string(n.Raw[:maxQuotedBytes]) + "…"
	default:
		return string(n.Raw)
	}
}
