package checker

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/decoder"
)

// Codes of faults in a set of objects, in addition to those of package decoder.
const (
	CodeOutOfRange         figseam.Code = "out_of_range"
	CodeMissingField       figseam.Code = "missing_field"
	CodeUnknownKind        figseam.Code = "unknown_kind"
	CodeDuplicateObject    figseam.Code = "duplicate_object"
	CodeDanglingReference  figseam.Code = "dangling_name"
	CodeMissingRole        figseam.Code = "missing_role"
	CodeUnattainableTarget figseam.Code = "impossible_target"
	CodeConflictingFields  figseam.Code = "conflicting_fields"
	CodeHiddenRoute        figseam.Code = "hidden_route"
)

// Object is one configuration object with its position in a file.
type Object struct {
	ID   figseam.ObjectID
	File string
	// Line is the line on which the object starts, from 1.
	Line int
	// Body is the unmodified JSON of the object.
	Body json.RawMessage
	// Value is the decoded object, for example a figseam.Pool or a figseam.Endpoint.
	Value any

	node decoder.Node
}

// fieldLine returns the line of a field, or of the object if the field is missing.
func (o Object) fieldLine(field string) int {
	if n, ok := o.node.Field(field); ok {
		return n.Line
	}
	return o.Line
}

// newFault returns a fault of a field at its position.
func (o Object) newFault(field string, code figseam.Code, format string, args ...any) decoder.Fault {
	return decoder.Fault{
		File: o.File, Line: o.fieldLine(field), Object: o.ID.String(),
		Field: field, Code: code, Detail: fmt.Sprintf(format, args...),
	}
}

// ReadFiles reads the objects of all files. It returns an error if a file cannot be
// read, and faults for invalid content.
func ReadFiles(paths ...string) (objects []Object, faults []decoder.Fault, err error) {
	defer func() { err = eris.Wrap(err, "read configuration objects") }()
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, nil, err
		}
		fileObjects, fileFaults := Parse(path, text)
		objects = append(objects, fileObjects...)
		faults = append(faults, fileFaults...)
	}
	return objects, faults, nil
}

// Parse parses one object or an array of objects, and omits objects with faults. The
// file name is only used in the faults.
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
		o, objectFaults := parseObject(file, n)
		faults = append(faults, objectFaults...)
		if len(objectFaults) == 0 {
			objects = append(objects, o)
		}
	}
	return objects, faults
}

// objectHeader holds the fields that all kinds have in common.
type objectHeader struct {
	Kind figseam.Kind
	Name string
}

func parseObject(file string, n decoder.Node) (Object, []decoder.Fault) {
	o := Object{File: file, Line: n.Line, Body: n.Raw, node: n}
	h, faults := parseHeader(o)
	if len(faults) > 0 {
		return Object{}, faults
	}
	o.ID = figseam.ObjectID{Kind: h.Kind, Name: h.Name}
	decode, ok := kindDecoders[h.Kind]
	if !ok {
		return Object{}, []decoder.Fault{o.newFault("kind", CodeUnknownKind, "expected one of %s, found %q", kindNames(), h.Kind)}
	}
	var valueFaults []decoder.Fault
	o.Value, valueFaults = decode(file, n)
	for i := range valueFaults {
		valueFaults[i].Object = o.ID.String()
	}
	return o, valueFaults
}

// parseHeader parses the kind and the name. Its faults name the object if the name was
// parsed.
func parseHeader(o Object) (objectHeader, []decoder.Fault) {
	if o.node.Delim != '{' {
		return objectHeader{}, []decoder.Fault{o.newFault("", decoder.CodeWrongType, "expected an object with kind and name")}
	}
	var h objectHeader
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
			faults = append(faults, o.newFault(f.name, CodeMissingField, "every object needs a %s", f.name))
		case json.Unmarshal(v.Raw, f.target) != nil || f.empty():
			faults = append(faults, o.newFault(f.name, decoder.CodeWrongType, "expected a non-empty string, found %s", v.Raw))
		}
	}
	for i := range faults {
		faults[i].Object = h.Name
	}
	return h, faults
}

// kindDecoder decodes an object of one kind. The file name is only used in the faults.
type kindDecoder func(file string, n decoder.Node) (any, []decoder.Fault)

// decodeAs returns the decoder of objects of type T.
func decodeAs[T any]() kindDecoder {
	return func(file string, n decoder.Node) (any, []decoder.Fault) {
		var v T
		faults := decoder.Decode(file, withoutKind(n), &v)
		return v, faults
	}
}

// withoutKind removes the field "kind", which the value types do not have. A second
// "kind" remains and is reported as an unknown field.
func withoutKind(n decoder.Node) decoder.Node {
	removed := false
	fields := make([]decoder.Field, 0, len(n.Fields))
	for _, f := range n.Fields {
		if f.Name == "kind" && !removed {
			removed = true
			continue
		}
		fields = append(fields, f)
	}
	n.Fields = fields
	return n
}
