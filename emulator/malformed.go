package emulator

import (
	"fmt"
	"slices"
	"strings"
)

// MalformedAnswer is an answer that is not complete or not well-formed.
type MalformedAnswer struct {
	Name string
	ScriptedAnswer
}

// framing returns the fields and the body of an answer in one of the three ways to delimit a body.
type framing struct {
	name  string
	frame func(body string) (fields, framed string)
	// end is the end of the connection after the answer.
	end ConnectionEnd
}

var framings = []framing{
	{"length", func(body string) (string, string) { return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body }, KeepOpen},
	{"chunked", func(body string) (string, string) {
		return "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}, KeepOpen},
	{"neither", func(body string) (string, string) { return "", body }, CloseOrderly},
}

// MalformedAnswers returns answers that no client may take for one of the endpoint. Apart from
// its fault each is a success with the given fields, lines that end with CRLF, and the body.
func MalformedAnswers(fields, body string) []MalformedAnswer {
	return slices.Concat(badStatusAnswers(fields, body), badFieldAnswers(fields, body), cutHeadAnswers(fields, body), badFramingAnswers(fields, body))
}

// badStatusAnswers returns answers whose status is none of HTTP.
func badStatusAnswers(fields, body string) []MalformedAnswer {
	var all []MalformedAnswer
	for _, status := range []string{"000", "099", "-00", "+20", "101", "600", "999"} {
		for _, f := range framings {
			framingFields, framed := f.frame(body)
			if status == "101" {
				// The client of a peer reads on after a switch of protocols.
				f.end = CloseOrderly
			}
			all = append(all, MalformedAnswer{
				Name:           "status " + status + ", " + f.name,
				ScriptedAnswer: ScriptedAnswer{Text: "HTTP/1.1 " + status + " OK\r\n" + fields + framingFields + "\r\n" + framed, End: f.end},
			})
		}
	}
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	return append(all, MalformedAnswer{
		Name: "status 000, the body looks like an answer",
		ScriptedAnswer: ScriptedAnswer{
			Text: fmt.Sprintf("HTTP/1.1 000 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(whole), whole),
		},
	})
}

// badFieldAnswers returns answers with a line that is no field: its name holds a blank or a control
// byte, or is missing.
func badFieldAnswers(fields, body string) []MalformedAnswer {
	var all []MalformedAnswer
	add := func(name string, f framing, lines string) {
		_, framed := f.frame(body)
		all = append(all, MalformedAnswer{
			Name: name + ", " + f.name, ScriptedAnswer: ScriptedAnswer{Text: "HTTP/1.1 200 OK\r\n" + fields + lines + "\r\n" + framed, End: CloseOrderly},
		})
	}
	for _, f := range framings {
		framingFields, _ := f.frame(body)
		for _, line := range []string{
			"In name: 1", "Name : 1", "Name\t: 1", "Na\x01me: 1", "Na\x00me: 1", "Na\x7fme: 1", "N\rame: 1", " Name: 1", "\tName: 1", "Na\x80me: 1", "Na(me: 1", ": 1", "Name",
		} {
			add(fmt.Sprintf("line %q", line), f, framingFields+line+"\r\n")
			add(fmt.Sprintf("line %q last", line), f, line+"\r\n"+framingFields)
		}
		if framingFields != "" {
			add("blank in the field that frames the body", f, strings.Replace(framingFields, ":", " :", 1))
			add("blank before the field that frames the body", f, " "+framingFields)
		}
	}
	return all
}

// cutHeadAnswers returns answers that end within their head, in an orderly way or by a reset.
func cutHeadAnswers(fields, body string) []MalformedAnswer {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	whole := "HTTP/1.1 200 OK\r\n" + fields + length + "\r\n"
	cuts := []struct {
		name string
		text string
	}{
		{"nothing", ""},
		{"in the status", "HTTP/1.1 2"},
		{"after the status", "HTTP/1.1 200 OK"},
		{"after the status line", "HTTP/1.1 200 OK\r\n"},
		{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"after the first fields", "HTTP/1.1 200 OK\r\n" + fields},
		{"in a name", strings.TrimSuffix(whole, length[7:]+"\r\n")},
		{"in a value", strings.TrimSuffix(whole, length[16:]+"\r\n")},
		{"before the end of a line", strings.TrimSuffix(whole, "\r\n\r\n")},
		{"in the end of a line", strings.TrimSuffix(whole, "\n\r\n")},
		{"before the blank line", strings.TrimSuffix(whole, "\r\n")},
		{"in the blank line", strings.TrimSuffix(whole, "\n")},
	}
	var all []MalformedAnswer
	for _, cut := range cuts {
		all = append(all, MalformedAnswer{Name: "closed, head cut " + cut.name, ScriptedAnswer: ScriptedAnswer{Text: cut.text, End: CloseOrderly}},
			MalformedAnswer{Name: "reset, head cut " + cut.name, ScriptedAnswer: ScriptedAnswer{Text: cut.text, End: Reset}})
	}
	return all
}

// badFramingAnswers returns answers whose head leaves open where the body ends, or in which versions
// of HTTP are mixed.
func badFramingAnswers(fields, body string) []MalformedAnswer {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	const chunked = "Transfer-Encoding: chunked\r\n"
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	if body == "" {
		chunks = "0\r\n\r\n"
	}
	whole := "HTTP/1.1 200 OK\r\n" + fields + length + "\r\n" + body
	samples := []struct{ name, text string }{
		{"length and chunks", "HTTP/1.1 200 OK\r\n" + fields + length + chunked + "\r\n" + chunks},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + chunked + "\r\n" + chunks},
		{"chunks in another coding", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks},
		{"chunked twice", "HTTP/1.1 200 OK\r\n" + fields + chunked + chunked + "\r\n" + chunks},
		{"unknown coding", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: identity\r\n" + length + "\r\n" + body},
		{"two lengths", "HTTP/1.1 200 OK\r\n" + fields + length + "Content-Length: 1\r\n\r\n" + body},
		{"length with a sign", "HTTP/1.1 200 OK\r\n" + fields + fmt.Sprintf("Content-Length: +%d\r\n", len(body)) + "\r\n" + body},
		{"negative length", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: -1\r\n\r\n" + body},
		{"empty length", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length:\r\n\r\n" + body},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\n" + fields + length + "\r\n" + body},
		{"HTTP/0.9", "HTTP/0.9 200 OK\r\n" + fields + length + "\r\n" + body},
		{"another protocol", "ICY/1.1 200 OK\r\n" + fields + length + "\r\n" + body},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + fields + length + "\r\n" + body},
		{"no status", "HTTP/1.1\r\n" + fields + length + "\r\n" + body},
		{"blank line first", "\r\n" + whole},
		{"interim response with a body", fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)},
		{"interim response with chunks", "HTTP/1.1 103 Early Hints\r\n" + chunked + "\r\n" + whole},
	}
	var all []MalformedAnswer
	for _, s := range samples {
		all = append(all, MalformedAnswer{Name: s.name, ScriptedAnswer: ScriptedAnswer{Text: s.text, End: CloseOrderly}})
	}
	return all
}

// CutBodyAnswers returns answers that end before their body is complete, though all bytes of the
// given body have come. status is the code with its reason.
func CutBodyAnswers(status, fields, body string) []MalformedAnswer {
	head := "HTTP/1.1 " + status + "\r\n" + fields
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	if body != "" {
		chunked += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	texts := []struct{ name, text string }{
		{"shorter than its length", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body)+2, body)},
		{"no end of the last line", strings.TrimSuffix(chunked, "\r\n")},
		{"no last chunk", chunked},
		{"no end of the last chunk", chunked + "0\r\n"},
		{"no end of the trailer", chunked + "0\r\nName: 1\r\n"},
	}
	var all []MalformedAnswer
	for _, t := range texts {
		all = append(all, MalformedAnswer{Name: "closed, " + t.name, ScriptedAnswer: ScriptedAnswer{Text: t.text, End: CloseOrderly}},
			MalformedAnswer{Name: "reset, " + t.name, ScriptedAnswer: ScriptedAnswer{Text: t.text, End: Reset}})
	}
	neither := ScriptedAnswer{Text: head + "\r\n" + body, End: Reset}
	return append(all, MalformedAnswer{Name: "reset, without a length", ScriptedAnswer: neither})
}
