package checker

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/decoder"
)

// Codes of faults in a set of objects, beside those of package decoder.
const (
	CodeOutOfRange         figseam.Code = "out_of_range"
	CodeMissingField       figseam.Code = "missing_field"
	CodeUnknownKind        figseam.Code = "unknown_kind"
	CodeDuplicateObject    figseam.Code = "duplicate_object"
	CodeDanglingReference  figseam.Code = "dangling_name"
	CodeMissingRole        figseam.Code = "missing_role"
	CodeUnattainableTarget figseam.Code = "impossible_target"
	CodeConflictingFields  figseam.Code = "conflicting_fields"
)

// Object is one configuration object with its place in a file.
type Object struct {
	ID   figseam.ObjectID
	File string
	// Line is the line on which the object starts.
	Line int
	// Body is the object's JSON as it was written.
	Body json.RawMessage
	// Value is the typed object: figseam.Pool, figseam.Endpoint and so on.
	Value any

	node decoder.Node
}

// fieldLine returns the line of a field, or of the object when it lacks it.
func (o Object) fieldLine(field string) int {
	if n, ok := o.node.Field(field); ok {
		return n.Line
	}
	return o.Line
}

func (o Object) fault(field string, code figseam.Code, format string, args ...any) decoder.Fault {
	return decoder.Fault{
		File: o.File, Line: o.fieldLine(field), Object: o.ID.String(),
		Field: field, Code: code, Detail: fmt.Sprintf(format, args...),
	}
}

// ReadFiles reads the objects of all files. The error is for files that cannot
// be read; faults in them are listed.
func ReadFiles(paths ...string) (objects []Object, faults []decoder.Fault, err error) {
	defer func() { err = eris.Wrap(err, "read configuration objects") }()
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, nil, err
		}
		read, bad := Parse(path, text)
		objects = append(objects, read...)
		faults = append(faults, bad...)
	}
	return objects, faults, nil
}

// Parse reads one object or an array of objects. The file name is only used in
// faults.
func Parse(file string, text []byte) ([]Object, []decoder.Fault) {
	root, faults := decoder.Parse(file, text)
	if len(faults) > 0 {
		return nil, faults
	}
	nodes := root.Elements
	if root.Delim != '[' {
		nodes = []decoder.Node{root}
	}
	var objects []Object
	for _, n := range nodes {
		o, bad := readObject(file, n)
		faults = append(faults, bad...)
		if len(bad) == 0 {
			objects = append(objects, o)
		}
	}
	return objects, faults
}

// header is the part that all kinds share.
type header struct {
	Kind figseam.Kind
	Name string
}

func readObject(file string, n decoder.Node) (Object, []decoder.Fault) {
	o := Object{File: file, Line: n.Line, Body: n.Raw, node: n}
	h, faults := readHeader(o)
	if len(faults) > 0 {
		return Object{}, faults
	}
	o.ID = figseam.ObjectID{Kind: h.Kind, Name: h.Name}
	read, ok := kinds[h.Kind]
	if !ok {
		return Object{}, []decoder.Fault{o.fault("kind", CodeUnknownKind, "expected one of %s, found %q", kindNames(), h.Kind)}
	}
	var bad []decoder.Fault
	o.Value, bad = read(file, n)
	for i := range bad {
		bad[i].Object = o.ID.String()
	}
	return o, bad
}

func readHeader(o Object) (header, []decoder.Fault) {
	if o.node.Delim != '{' {
		return header{}, []decoder.Fault{o.fault("", decoder.CodeWrongType, "expected an object with kind and name")}
	}
	var h header
	var faults []decoder.Fault
	for _, f := range []struct {
		name   string
		target any
		empty  func() bool
	}{
		{"kind", &h.Kind, func() bool { return h.Kind == "" }},
		{"name", &h.Name, func() bool { return h.Name == "" }},
	} {
		v, ok := o.node.Field(f.name)
		switch {
		case !ok:
			faults = append(faults, o.fault(f.name, CodeMissingField, "every object needs a %s", f.name))
		case json.Unmarshal(v.Raw, f.target) != nil || f.empty():
			faults = append(faults, o.fault(f.name, decoder.CodeWrongType, "expected a non-empty string, found %s", v.Raw))
		}
	}
	for i := range faults {
		faults[i].Object = h.Name
	}
	return h, faults
}

// reader decodes one object of a kind.
type reader func(file string, n decoder.Node) (any, []decoder.Fault)

// typed returns the reader for objects of type T.
func typed[T any]() reader {
	return func(file string, n decoder.Node) (any, []decoder.Fault) {
		var v T
		faults := decoder.Decode(file, withoutKind(n), &v)
		return v, faults
	}
}

// withoutKind drops the kind, which the value types do not carry. A second
// "kind" stays and is reported as unknown.
func withoutKind(n decoder.Node) decoder.Node {
	dropped := false
	kept := make([]decoder.Field, 0, len(n.Fields))
	for _, f := range n.Fields {
		if f.Name == "kind" && !dropped {
			dropped = true
			continue
		}
		kept = append(kept, f)
	}
	n.Fields = kept
	return n
}
