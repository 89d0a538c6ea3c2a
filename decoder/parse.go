package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Node is a JSON value with its position in the text.
type Node struct {
	// Line is the 1-based line on which the value starts.
	Line int
	Raw  json.RawMessage
	// Fields are the members of an object, Elements those of an array.
	Fields   []Field
	Elements []Node
	// Delim is '{' for an object, '[' for an array and 0 otherwise.
	Delim json.Delim
}

// Field is a member of a JSON object.
type Field struct {
	Name  string
	Line  int
	Value Node
}

// Field returns the value of the first member with the given name.
func (n Node) Field(name string) (Node, bool) {
	for _, f := range n.Fields {
		if f.Name == name {
			return f.Value, true
		}
	}
	return Node{}, false
}

// maxDepth bounds the nesting of a document and thereby the parser's recursion.
const maxDepth = 64

// Parse parses a text that consists of one JSON value. It returns at most one fault.
func Parse(file string, text []byte) (Node, []Fault) {
	p := &parser{text: text, dec: json.NewDecoder(bytes.NewReader(text))}
	p.dec.UseNumber()
	n, err := p.parseValue(0)
	if err == nil {
		if _, endErr := p.dec.Token(); !errors.Is(endErr, io.EOF) {
			err = errors.New("expected the end of the file after the first value")
		}
	}
	if err != nil {
		return Node{}, []Fault{{File: file, Line: p.nextLine(), Code: CodeSyntax, Detail: syntaxDetail(err)}}
	}
	return n, nil
}

func syntaxDetail(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "the text ends in the middle of a value"
	}
	return err.Error()
}

type parser struct {
	text []byte
	dec  *json.Decoder
}

// nextOffset returns the offset of the next token. The decoder's own offset is the end of
// the previous token, so separators and white space have to be skipped.
func (p *parser) nextOffset() int {
	offset := min(int(p.dec.InputOffset()), len(p.text))
	for offset < len(p.text) && strings.IndexByte(" \t\r\n,:", p.text[offset]) >= 0 {
		offset++
	}
	return offset
}

// nextLine returns the line of the next token.
func (p *parser) nextLine() int { return 1 + bytes.Count(p.text[:p.nextOffset()], []byte("\n")) }

func (p *parser) parseValue(depth int) (n Node, err error) {
	if depth > maxDepth {
		return Node{}, fmt.Errorf("values are nested more than %d deep", maxDepth)
	}
	n.Line = p.nextLine()
	start := p.nextOffset()
	token, err := p.dec.Token()
	if err != nil {
		return Node{}, err
	}
	if d, ok := token.(json.Delim); ok {
		n.Delim = d
		if err := p.parseChildren(&n, depth); err != nil {
			return Node{}, err
		}
	}
	n.Raw = p.text[start:p.dec.InputOffset()]
	return n, nil
}

// parseChildren parses the members or elements of n and its closing delimiter.
func (p *parser) parseChildren(n *Node, depth int) error {
	for p.dec.More() {
		field := Field{Line: p.nextLine()}
		if n.Delim == '{' {
			name, err := p.dec.Token()
			if err != nil {
				return err
			}
			field.Name, _ = name.(string)
		}
		v, err := p.parseValue(depth + 1)
		if err != nil {
			return err
		}
		if n.Delim == '{' {
			field.Value = v
			n.Fields = append(n.Fields, field)
		} else {
			n.Elements = append(n.Elements, v)
		}
	}
	_, err := p.dec.Token()
	return err
}
