package main

import (
	"encoding/json"
	"go/scanner"
	"go/token"
	"io"
	"log"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
)

// renamings are other customers: names of classes, tenants, zones and providers, by the one in base and in testdata/. A
// zone stands in quotes, since a letter alone is much else; it and a provider keep their length, which bodies tell. The ids
// run the other way.
var renamings = map[string]map[string]string{
	"fresh": {
		"tile": "Full_text", "order": "q", "search": "loan-2", "acme": "St-Gall", "globex": "zu", `"a"`: `"x"`, `"b"`: `"y"`,
		"p1": "w9", "p2": "w8", "p3": "w7", "p9": "w1",
	},
	"exchanged": {"tile": "order", "order": "tile", "acme": "globex", "globex": "acme", `"a"`: `"b"`, `"b"`: `"a"`},
}

var (
	wordPattern = regexp.MustCompile(`"\w"|[\w-]+`)
	namePattern = regexp.MustCompile(`(?m)^\[\[(class|tenant)\]\].*\n(?:\n|[^\[\n].*\n)*?name\s*=\s*"([^"]+)"`) // in a site's file
)

func rename(text string, names map[string]string) string {
	return wordPattern.ReplaceAllStringFunc(text, func(w string) string {
		if other, named := names[w]; named {
			return other
		}
		return w
	})
}

// reorder turns the classes, the tenants and the zones of a configuration round by one, so that none keeps its position.
func reorder(raw []byte) []byte {
	var c map[string]any
	if err := json.Unmarshal(raw, &c); err != nil {
		panic(err)
	}
	s := c["settings"].(map[string]any)
	for _, key := range []string{"RequestClasses", "Realms", "Dcs"} {
		was := s[key].([]any)
		s[key] = slices.Concat(was[len(was)-1:], was[:len(was)-1])
	}
	n := len(s["Dcs"].([]any))
	s["Locality"] = (int(s["Locality"].(float64)) + 1) % n
	raw, _ = json.Marshal(c)
	return raw
}

// Whatever a customer calls its classes, tenants and zones, and in whatever order they stand, each exchange goes as recorded.
func TestExchangesUnderOtherNames(t *testing.T) {
	log.SetOutput(io.Discard)
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no exchanges: %v", err)
	}
	for customer, names := range renamings {
		back := map[string]string{}
		for was, is := range names {
			back[is] = was
		}
		worded := func(raw []byte) []byte { return reorder([]byte(rename(string(raw), names))) }
		for _, file := range files {
			t.Run(customer+"/"+strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
				raw, err := os.ReadFile(file)
				if err != nil {
					t.Fatal(err)
				}
				text := rename(string(raw), names)
				if rename(text, back) != string(raw) {
					t.Fatal("the recording has one of the other names already")
				}
				var played string
				synctest.Test(t, func(t *testing.T) { played = play(t, text, worded) })
				if diff := cmp.Diff(text, played); diff != "" {
					t.Errorf("as recorded (-), as played (+):\n%s", diff)
				}
			})
		}
	}
}

// Neither the program nor what deploys it has a name of a class or a tenant: not one of base, and none of our customers'. A
// part of a string literal counts, as in "/name/" or "name,other", but no word of a sentence.
func TestNoNameIsKnown(t *testing.T) {
	read := func(file string) string {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	named := map[string]bool{"tile": true, "order": true, "search": true, "acme": true, "globex": true}
	sites, _ := filepath.Glob("../../deploy/sites/*/*.toml")
	if _, err := os.Stat("../../deploy/sites"); len(sites) == 0 && !os.IsNotExist(err) {
		t.Fatalf("deploy/sites has no customer: %v", err)
	}
	for _, site := range sites {
		text, of := read(site), map[string]int{}
		for _, m := range namePattern.FindAllStringSubmatch(text, -1) {
			named[strings.ToLower(m[2])] = true
			of[m[1]]++
		}
		for _, kind := range []string{"class", "tenant"} {
			if n := strings.Count(text, "[["+kind+"]]"); of[kind] != n || n == 0 {
				t.Errorf("%s: %d of %d names of a %s found", site, of[kind], n, kind)
			}
		}
	}
	look := func(file, text, between string) {
		for _, part := range strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(between, r) }) {
			if named[strings.ToLower(part)] {
				t.Errorf("%s knows %q, which is a customer's name", file, part)
			}
		}
	}
	files, _ := filepath.Glob("../../deploy/*.*")
	for _, file := range files {
		look(file, read(file), "/,:=\"'{}[]().#\t\n ")
	}
	for dirs, at := []string{"cmd/plankrouter", "cmd/simadapter"}, 0; at < len(dirs); at++ { // and all that they import
		sources, _ := filepath.Glob("../../" + dirs[at] + "/*.go")
		for _, file := range slices.DeleteFunc(sources, func(f string) bool { return strings.HasSuffix(f, "_test.go") }) {
			var s scanner.Scanner
			src := read(file)
			s.Init(token.NewFileSet().AddFile(file, -1, len(src)), []byte(src), nil, 0)
			for _, tok, lit := s.Scan(); tok != token.EOF; _, tok, lit = s.Scan() {
				if tok == token.STRING {
					look(file, lit, "/,:=|?\"`{}[]()\n")
				}
				if dir, ours := strings.CutPrefix(lit, `"plankrouter/`); ours && !slices.Contains(dirs, strings.Trim(dir, `"`)) {
					dirs = append(dirs, strings.Trim(dir, `"`))
				}
			}
		}
		if len(sources) == 0 || at == 0 && !slices.Contains(dirs, "internal/dispatch") {
			t.Errorf("no sources, or not all, in %s", dirs[at])
		}
	}
}
