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
	head      string // what stands before the first scenario
	scenarios []*scenario
	faults    [][]string // words of the lines in front that begin with it: name, deed, and what the server then says it did
}

// scenario is one of them. Its text is kept, so that -update replaces the outcome alone.
type scenario struct {
	name       string
	text       string // from its first line up to and with the line "outcome"
	tail       string // behind the outcome
	hasComment bool   // there is a comment
	setup      [][]string
	steps      []step
	want       []string
	known      map[string]string // by side, the defect because of which it is not as the file says
	line       int
	generated  bool // of one that stands for many
}

// step is one line.
type step struct {
	line  int
	words []string
}

// setups are the first words of lines that say what there is before the first step.
var setups = map[string]bool{
	"provider": true, "class": true, "tenant": true, "set": true, "alone": true,
	"merged": true,
}

// readScripts reads all files of testdata/.
func readScripts() (all []*script, err error) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err == nil && len(paths) == 0 {
		err = fmt.Errorf("testdata: there is no scenario")
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
	var now *scenario
	inOutcome := false // it goes on
	for i, line := range strings.SplitAfter(text, "\n") {
		words, err := split(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", i+1, err)
		}
		switch {
		case len(words) > 0 && words[0] == "scenario":
			now = &scenario{name: strings.Join(words[1:], " "), text: line, known: map[string]string{}, line: i}
			s.scenarios, inOutcome = append(s.scenarios, now), false
			continue
		case now == nil:
			s.head += line
			if len(words) == 4 && words[0] == "fault" {
				s.faults = append(s.faults, words[1:])
			} else if len(words) > 0 {
				return fmt.Errorf("line %d: want \"fault NAME DEED SAW\" or a scenario", i+1)
			}
			continue
		case inOutcome && len(words) > 0 && strings.HasPrefix(line, " "):
			now.want = append(now.want, strings.TrimSpace(line))
			continue
		case inOutcome:
			now.tail += line
			continue
		}
		now.text += line
		switch {
		case len(words) == 0:
			now.hasComment = now.hasComment || strings.HasPrefix(line, "#")
		case words[0] == "outcome":
			inOutcome = true
		case words[0] == "known" && len(words) > 2:
			now.known[words[1]] = strings.Join(words[2:], " ")
		case setups[words[0]]:
			now.setup = append(now.setup, words)
		default:
			now.steps = append(now.steps, step{i + 1, words})
		}
	}
	for _, scen := range s.scenarios {
		switch {
		case scen.name == "" || !scen.hasComment:
			return fmt.Errorf("scenario %q: it needs a name, and a comment that says what it guards against", scen.name)
		case !strings.HasSuffix(scen.text, "\noutcome\n"):
			return fmt.Errorf("scenario %q: it does not end in a line \"outcome\"", scen.name)
		}
	}
	return nil
}

// plays returns the scenarios that are to be played: one with $fault in its name once for each fault.
func (s *script) plays() (all []*scenario, err error) {
	for _, scen := range s.scenarios {
		if !strings.Contains(scen.name, "$fault") {
			all = append(all, scen)
			continue
		}
		text := scen.text + "  " + strings.Join(scen.want, "\n  ") + "\n"
		if len(s.faults) == 0 {
			return nil, fmt.Errorf("%s: scenario %q: there is no line \"fault NAME DEED SAW\"", s.path, scen.name)
		}
		for _, w := range s.faults {
			var one script
			if err := one.parse(strings.NewReplacer("$fault", w[0], "$deed", w[1], "$saw", w[2]).Replace(text)); err != nil {
				return nil, fmt.Errorf("%s: %s: %w", s.path, w[0], err)
			}
			made := one.scenarios[0]
			made.generated = true
			for i := range made.steps {
				made.steps[i].line += scen.line
			}
			all = append(all, made)
		}
	}
	return all, nil
}

// write replaces the outcomes.
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
	for _, w := range s.setup {
		if w[0] == keyword {
			return true
		}
	}
	return false
}

// split splits a line into words at blanks. What stands in double quotes, with Go's escapes, is part of one word.
func split(line string) (words []string, err error) {
	word, open := "", false
	for line = strings.TrimSpace(line); line != "" && line[0] != '#'; {
		switch line[0] {
		case ' ', '\t':
			if open {
				words = append(words, word)
			}
			word, open, line = "", false, line[1:]
		case '"':
			quoted, err := strconv.QuotedPrefix(line)
			if err != nil {
				return nil, fmt.Errorf("a quote that does not end: %s", line)
			}
			plain, _ := strconv.Unquote(quoted)
			word, open, line = word+plain, true, line[len(quoted):]
		default:
			word, open, line = word+line[:1], true, line[1:]
		}
	}
	if open {
		words = append(words, word)
	}
	return words, nil
}

// option is a word such as "header=X-A: 1".
type option struct{ key, value string }

// options are what is said by key, in order.
type options []option

// splitOptions takes the options out of words.
func splitOptions(words []string) (plain []string, o options) {
	for _, w := range words {
		if key, value, is := strings.Cut(w, "="); is {
			o = append(o, option{key, value})
		} else {
			plain = append(plain, w)
		}
	}
	return plain, o
}

// get returns the last value of a key; "" = there is none.
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

// parseBody reads a body: a number asks for so many bytes that look like nothing else, any other word is the body itself.
func parseBody(word string) []byte {
	n, err := strconv.Atoi(word)
	if err != nil {
		return []byte(word)
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

// describe words a body in short.
func describe(body []byte) string {
	switch {
	case len(body) <= 200:
		return strconv.Quote(string(body))
	case string(body) == string(pattern(len(body))):
		return fmt.Sprintf("%d bytes as made", len(body))
	}
	return fmt.Sprintf("%d other bytes: %q...", len(body), body[:100])
}
