package conformance

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// script is a file of scenarios.
type script struct {
	path      string
	head      string // text before the first scenario
	scenarios []*scenario
	faults    [][]string // arguments of the fault lines in the head: name, server action and the action's recorded result
}

// scenario is one scenario of a file. Its text is kept so that -update replaces only the outcome.
type scenario struct {
	name         string
	text         string // from its first line to the line "outcome", inclusive
	tail         string // text after the outcome
	hasComment   bool
	setup        [][]string        // tokens of the setup lines
	steps        []step            // steps to run after the setup
	want         []string          // expected outcome lines
	knownDefects map[string]string // the known defect that makes the outcome of a side differ, by "daemon" or "library"
	line         int               // number of lines before it in the file
	generated    bool              // created from a scenario with $fault in its name
}

// step is one line of a scenario that is neither setup nor outcome.
type step struct {
	line   int
	tokens []string
}

// setupKeywords are the first tokens of the setup lines.
var setupKeywords = map[string]bool{
	"provider": true, "class": true, "tenant": true, "set": true, "alone": true,
	"merged": true,
}

// readScripts reads all files of testdata/.
func readScripts() (all []*script, err error) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err == nil && len(paths) == 0 {
		err = fmt.Errorf("testdata: no scenario files")
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		s := &script{path: path}
		if err := s.parse(string(raw)); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, s)
	}
	return all, err
}

func (s *script) parse(text string) error {
	var current *scenario
	inOutcome := false // the line is after "outcome"
	for i, line := range strings.SplitAfter(text, "\n") {
		tokens, err := split(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", i+1, err)
		}
		switch {
		case len(tokens) > 0 && tokens[0] == "scenario":
			current = &scenario{name: strings.Join(tokens[1:], " "), text: line, knownDefects: map[string]string{}, line: i}
			s.scenarios, inOutcome = append(s.scenarios, current), false
			continue
		case current == nil:
			s.head += line
			if len(tokens) == 4 && tokens[0] == "fault" {
				s.faults = append(s.faults, tokens[1:])
			} else if len(tokens) > 0 {
				return fmt.Errorf("line %d: want \"fault NAME DEED SAW\" or a scenario", i+1)
			}
			continue
		case inOutcome && len(tokens) > 0 && strings.HasPrefix(line, " "):
			current.want = append(current.want, strings.TrimSpace(line))
			continue
		case inOutcome:
			current.tail += line
			continue
		}
		current.text += line
		switch {
		case len(tokens) == 0:
			current.hasComment = current.hasComment || strings.HasPrefix(line, "#")
		case tokens[0] == "outcome":
			inOutcome = true
		case tokens[0] == "known" && len(tokens) > 2:
			current.knownDefects[tokens[1]] = strings.Join(tokens[2:], " ")
		case setupKeywords[tokens[0]]:
			current.setup = append(current.setup, tokens)
		default:
			current.steps = append(current.steps, step{i + 1, tokens})
		}
	}
	for _, scen := range s.scenarios {
		switch {
		case scen.name == "" || !scen.hasComment:
			return fmt.Errorf("scenario %q: needs a name, and a comment that says which failure it guards against", scen.name)
		case !strings.HasSuffix(scen.text, "\noutcome\n"):
			return fmt.Errorf("scenario %q: its text does not end in a line \"outcome\"", scen.name)
		}
	}
	return nil
}

// expand returns the scenarios to run. A scenario with $fault in its name is repeated for each fault of the file.
func (s *script) expand() (all []*scenario, err error) {
	for _, scen := range s.scenarios {
		if !strings.Contains(scen.name, "$fault") {
			all = append(all, scen)
			continue
		}
		text := scen.text + "  " + strings.Join(scen.want, "\n  ") + "\n"
		if len(s.faults) == 0 {
			return nil, fmt.Errorf("%s: scenario %q: the file has no line \"fault NAME DEED SAW\"", s.path, scen.name)
		}
		for _, fault := range s.faults {
			var single script
			if err := single.parse(strings.NewReplacer("$fault", fault[0], "$deed", fault[1], "$saw", fault[2]).Replace(text)); err != nil {
				return nil, fmt.Errorf("%s: %s: %w", s.path, fault[0], err)
			}
			generated := single.scenarios[0]
			generated.generated = true
			for i := range generated.steps {
				generated.steps[i].line += scen.line
			}
			all = append(all, generated)
		}
	}
	return all, nil
}

// write writes the file with the scenarios' current outcomes.
func (s *script) write() error {
	var b strings.Builder
	b.WriteString(s.head)
	for _, scen := range s.scenarios {
		b.WriteString(scen.text)
		for _, line := range scen.want {
			fmt.Fprintf(&b, "  %s\n", line)
		}
		b.WriteString(scen.tail)
	}
	return os.WriteFile(s.path, []byte(b.String()), 0o644)
}

// has reports whether the setup has a line that begins with the keyword.
func (s *scenario) has(keyword string) bool {
	for _, line := range s.setup {
		if line[0] == keyword {
			return true
		}
	}
	return false
}

// split splits a line into tokens at blanks. Text in double quotes, with Go's escapes, belongs to one token.
func split(line string) (tokens []string, err error) {
	token, inToken := "", false
	for line = strings.TrimSpace(line); line != "" && line[0] != '#'; {
		switch line[0] {
		case ' ', '\t':
			if inToken {
				tokens = append(tokens, token)
			}
			token, inToken, line = "", false, line[1:]
		case '"':
			quoted, err := strconv.QuotedPrefix(line)
			if err != nil {
				return nil, fmt.Errorf("missing closing quote: %s", line)
			}
			unquoted, _ := strconv.Unquote(quoted)
			token, inToken, line = token+unquoted, true, line[len(quoted):]
		default:
			token, inToken, line = token+line[:1], true, line[1:]
		}
	}
	if inToken {
		tokens = append(tokens, token)
	}
	return tokens, nil
}

// option is a KEY=VALUE token, such as "header=X-A: 1".
type option struct{ key, value string }

// options are the options of a line, in order. A key may occur several times.
type options []option

// splitOptions separates the options from the plain tokens.
func splitOptions(tokens []string) (plain []string, o options) {
	for _, token := range tokens {
		if key, value, isOption := strings.Cut(token, "="); isOption {
			o = append(o, option{key, value})
		} else {
			plain = append(plain, token)
		}
	}
	return plain, o
}

// get returns the last value of a key; "" = the key is missing.
func (o options) get(key string) (value string) {
	for _, one := range o {
		if one.key == key {
			value = one.value
		}
	}
	return value
}

// all returns the values of a key.
func (o options) all(key string) (values []string) {
	for _, one := range o {
		if one.key == key {
			values = append(values, one.value)
		}
	}
	return values
}

// parseBody returns the body that a token specifies: for a number, a pattern of that many bytes; else the token itself.
func parseBody(token string) []byte {
	n, err := strconv.Atoi(token)
	if err != nil {
		return []byte(token)
	}
	return pattern(n)
}

func pattern(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + (i*7+i/26)%26)
	}
	return b
}

// describe returns a short description of a body.
func describe(body []byte) string {
	switch {
	case len(body) <= 200:
		return strconv.Quote(string(body))
	case string(body) == string(pattern(len(body))):
		return fmt.Sprintf("%d bytes as made", len(body))
	}
	return fmt.Sprintf("%d other bytes: %q...", len(body), body[:100])
}
