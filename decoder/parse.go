package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Node is a JSON value with its place in the text.
type Node struct {
	// Line is the 1-based line on which the value starts.
	Line     int
	Raw      json.RawMessage
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

// Field returns the first member called name.
func (n Node) Field(name string) (Node, bool) {
	for _, f := range n.Fields {
		if f.Name == name {
			return f.Value, true
		}
	}
	return Node{}, false
}

// maxDepth bounds the nesting of a document, and so the parser's stack.
const maxDepth = 64

// Parse reads one JSON value that fills the whole text.
func Parse(file string, text []byte) (Node, []Fault) {
	p := &parser{text: text, dec: json.NewDecoder(bytes.NewReader(text))}
	p.dec.UseNumber()
	n, err := p.value(0)
	if err == nil {
		if _, rest := p.dec.Token(); !errors.Is(rest, io.EOF) {
			err = errors.New("expected the end of the file after the first value")
		}
	}
	if err != nil {
		return Node{}, []Fault{{File: file, Line: p.line(), Code: CodeSyntax, Detail: syntaxDetail(err)}}
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

// start returns the offset of the next token. The decoder's offset lies behind the
// last token, so separators and blanks are passed over first.
func (p *parser) start() int {
	at := min(int(p.dec.InputOffset()), len(p.text))
	for at < len(p.text) && strings.IndexByte(" \t\r\n,:", p.text[at]) >= 0 {
		at++
	}
	return at
}

// line returns the line of the next token.
func (p *parser) line() int { return 1 + bytes.Count(p.text[:p.start()], []byte("\n")) }

func (p *parser) value(depth int) (n Node, err error) {
	if depth > maxDepth {
		return Node{}, fmt.Errorf("values are nested more than %d deep", maxDepth)
	}
	n.Line = p.line()
	start := p.start()
	token, err := p.dec.Token()
	if err != nil {
		return Node{}, err
	}
	if d, ok := token.(json.Delim); ok {
		n.Delim = d
		if err := p.members(&n, depth); err != nil {
			return Node{}, err
		}
	}
	n.Raw = p.text[start:p.dec.InputOffset()]
	return n, nil
}

func (p *parser) members(n *Node, depth int) error {
	for p.dec.More() {
		field := Field{Line: p.line()}
		if n.Delim == '{' {
			name, err := p.dec.Token()
			if err != nil {
				return err
			}
			field.Name, _ = name.(string)
		}
		v, err := p.value(depth + 1)
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
