package decoder

import (
	"encoding/json"
	"unicode"
)

// AmbiguousName returns the first member name in a JSON text that encoding/json takes for
// another one: a name that stands twice in one object, a name that differs from another of
// its object in letter case only, or a name of the outermost object that differs in letter
// case only from one of the known names. encoding/json matches the names of members without
// regard to case and lets the last of several members count, while other readers of the text
// may do neither. The text must be valid JSON.
func AmbiguousName(text []byte, known ...string) (name string, found bool) {
	s := nameScanner{text: text, known: make(map[string]string, len(known))}
	for _, k := range known {
		s.known[foldName(k)] = k
	}
	return s.scan()
}

// nameScanner walks through a JSON text.
type nameScanner struct {
	text []byte
	// known holds the known names by their folded form.
	known map[string]string
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
	k, ok := s.known[folded]
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
	var name string
	if json.Unmarshal(quoted, &name) != nil {
		return string(quoted)
	}
	return name
}

// foldName returns the form in which encoding/json compares names: each letter is replaced
// by the least one that differs from it in case only.
func foldName(name string) string {
	folded := make([]rune, 0, len(name))
	for _, r := range name {
		folded = append(folded, foldRune(r))
	}
	return string(folded)
}

func foldRune(r rune) rune {
	for {
		next := unicode.SimpleFold(r)
		if next <= r {
			return next
		}
		r = next
	}
}
