package decoder

import (
	"bytes"
	"encoding/json"
	"strings"
	"unicode"
	"unicode/utf8"
)

// KnownNames is a set of member names.
type KnownNames struct {
	// byFolded holds the names by their folded form.
	byFolded map[string]string
}

// NewKnownNames returns a set of names.
func NewKnownNames(names ...string) KnownNames {
	k := KnownNames{byFolded: make(map[string]string, len(names))}
	for _, name := range names {
		k.byFolded[foldName(name)] = name
	}
	return k
}

// AmbiguousName returns the first member name in a JSON text that encoding/json takes for
// another one: a name that stands twice in one object, a name that differs from another of
// its object in letter case only, or a name of the outermost object that differs in letter
// case only from one of the known names. encoding/json matches the names of members without
// regard to case and lets the last of several members count, while other readers of the text
// may do neither. The text must be valid JSON.
func AmbiguousName(text []byte, known KnownNames) (name string, found bool) {
	s := nameScanner{text: text, known: known}
	return s.scan()
}

// nameScanner walks through a JSON text.
type nameScanner struct {
	text  []byte
	known KnownNames
	// open holds the folded names of each open object, and nil for each open array.
	open []map[string]struct{}
}

func (s *nameScanner) scan() (name string, found bool) {
	expectsName := false
	for i := 0; i < len(s.text); i++ {
		switch s.text[i] {
		case '{':
			s.open = append(s.open, map[string]struct{}{})
			expectsName = true
		case '[':
			s.open = append(s.open, nil)
			expectsName = false
		case '}', ']':
			if len(s.open) == 0 {
				return "", false
			}
			s.open = s.open[:len(s.open)-1]
			expectsName = false
		case ',':
			expectsName = len(s.open) > 0 && s.open[len(s.open)-1] != nil
		case '"':
			end := stringEnd(s.text, i)
			if expectsName {
				name = unquote(s.text[i:end])
				if s.isAmbiguous(name) {
					return name, true
				}
			}
			expectsName = false
			i = end - 1
		}
	}
	return "", false
}

// isAmbiguous reports whether a name of the innermost object is ambiguous, and records it.
func (s *nameScanner) isAmbiguous(name string) bool {
	folded := foldName(name)
	names := s.open[len(s.open)-1]
	if _, repeated := names[folded]; repeated {
		return true
	}
	names[folded] = struct{}{}
	k, ok := s.known.byFolded[folded]
	return ok && k != name && len(s.open) == 1
}

// stringEnd returns the position after the JSON string that starts at a position.
func stringEnd(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

func unquote(quoted []byte) string {
	if bytes.IndexByte(quoted, '\\') < 0 && utf8.Valid(quoted) {
		return string(bytes.Trim(quoted, `"`))
	}
	var name string
	if json.Unmarshal(quoted, &name) != nil {
		return string(quoted)
	}
	return name
}

// foldName returns the form in which encoding/json compares names: each letter is replaced
// by the least one that differs from it in case only.
func foldName(name string) string { return strings.Map(foldRune, name) }

func foldRune(r rune) rune {
	if r < utf8.RuneSelf {
		return unicode.ToUpper(r)
	}
	for {
		next := unicode.SimpleFold(r)
		if next <= r {
			return next
		}
		r = next
	}
}
