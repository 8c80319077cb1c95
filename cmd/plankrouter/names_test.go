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

// renamings maps, for other customers, the names of classes, tenants, zones and servers in testdata/ and in the constant base
// to new ones. Zones are matched with their quotes, since a single letter also occurs in other words. Zones and servers keep
// the length of their names, since the lengths of bodies depend on it. The new server ids sort in the opposite order.
var renamings = map[string]map[string]string{
	"fresh": {
		"tile": "Full_text", "order": "q", "search": "loan-2", "acme": "St-Gall", "globex": "zu", `"a"`: `"x"`, `"b"`: `"y"`,
		"p1": "w9", "p2": "w8", "p3": "w7", "p9": "w1",
	},
	"exchanged": {"tile": "order", "order": "tile", "acme": "globex", "globex": "acme", `"a"`: `"b"`, `"b"`: `"a"`},
}

var (
	tokenPattern = regexp.MustCompile(`"\w"|[\w-]+`)
	namePattern  = regexp.MustCompile(`(?m)^\[\[(class|tenant)\]\].*\n(?:\n|[^\[\n].*\n)*?name\s*=\s*"([^"]+)"`) // in the file of a site
)

func rename(text string, names map[string]string) string {
	return tokenPattern.ReplaceAllStringFunc(text, func(w string) string {
		if other, renamed := names[w]; renamed {
			return other
		}
		return w
	})
}

// reorder rotates the classes, the tenants and the zones of a configuration by one, so that none keeps its position.
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

// A replay of each exchange equals the recording, also with other names of classes, tenants, zones and servers, and with
// classes, tenants and zones in another order.
func TestExchangesUnderOtherNames(t *testing.T) {
	log.SetOutput(io.Discard)
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no exchanges: %v", err)
	}
	for customer, names := range renamings {
		reverse := map[string]string{}
		for was, is := range names {
			reverse[is] = was
		}
		editConfig := func(raw []byte) []byte { return reorder([]byte(rename(string(raw), names))) }
		for _, file := range files {
			t.Run(customer+"/"+strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
				raw, err := os.ReadFile(file)
				if err != nil {
					t.Fatal(err)
				}
				text := rename(string(raw), names)
				if rename(text, reverse) != string(raw) {
					t.Fatal("the recording already contains one of the new names")
				}
				var replayed string
				synctest.Test(t, func(t *testing.T) { replayed = replay(t, text, editConfig) })
				if diff := cmp.Diff(text, replayed); diff != "" {
					t.Errorf("as recorded (-), as replayed (+):\n%s", diff)
				}
			})
		}
	}
}

// Neither the program nor its deploy files contain a name of a class or a tenant from the constant base or of a customer. Parts
// of string literals are checked, as in "/name/" or "name,other", but not words within sentences.
func TestSourcesContainNoCustomerName(t *testing.T) {
	read := func(file string) string {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	forbidden := map[string]bool{"tile": true, "order": true, "search": true, "acme": true, "globex": true}
	sites, _ := filepath.Glob("../../deploy/sites/*/*.toml")
	if _, err := os.Stat("../../deploy/sites"); len(sites) == 0 && !os.IsNotExist(err) {
		t.Fatalf("no sites in deploy/sites: %v", err)
	}
	for _, site := range sites {
		text, of := read(site), map[string]int{}
		for _, m := range namePattern.FindAllStringSubmatch(text, -1) {
			forbidden[strings.ToLower(m[2])] = true
			of[m[1]]++
		}
		for _, kind := range []string{"class", "tenant"} {
			if n := strings.Count(text, "[["+kind+"]]"); of[kind] != n || n == 0 {
				t.Errorf("%s: %d of %d names of a %s found", site, of[kind], n, kind)
			}
		}
	}
	checkParts := func(file, text, separators string) {
		for _, part := range strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(separators, r) }) {
			if forbidden[strings.ToLower(part)] {
				t.Errorf("%s contains %q, which is a customer's name", file, part)
			}
		}
	}
	files, _ := filepath.Glob("../../deploy/*.*")
	for _, file := range files {
		checkParts(file, read(file), "/,:=\"'{}[]().#\t\n ")
	}
	for dirs, at := []string{"cmd/plankrouter", "cmd/simadapter"}, 0; at < len(dirs); at++ { // and the packages that they import
		sources, _ := filepath.Glob("../../" + dirs[at] + "/*.go")
		for _, file := range slices.DeleteFunc(sources, func(f string) bool { return strings.HasSuffix(f, "_test.go") }) {
			var s scanner.Scanner
			src := read(file)
			s.Init(token.NewFileSet().AddFile(file, -1, len(src)), []byte(src), nil, 0)
			for _, tok, lit := s.Scan(); tok != token.EOF; _, tok, lit = s.Scan() {
				if tok == token.STRING {
					checkParts(file, lit, "/,:=|?\"`{}[]()\n")
				}
				if dir, ours := strings.CutPrefix(lit, `"plankrouter/`); ours && !slices.Contains(dirs, strings.Trim(dir, `"`)) {
					dirs = append(dirs, strings.Trim(dir, `"`))
				}
			}
		}
		if len(sources) == 0 || at == 0 && !slices.Contains(dirs, "internal/dispatch") {
			t.Errorf("sources or imports are missing in %s", dirs[at])
		}
	}
}
