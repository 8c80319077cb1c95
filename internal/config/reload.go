package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Reload reads the file anew and checks it whole. What it says of discovery goes before GW_DISCOVERY: the environment is
// that of the start, and the file is newer. A key that the file had before must still be there: a file that is incomplete says
// nothing. fixed names the keys that differ and can't change while the program runs: next has the values of c there.
func (c *Config) Reload(getenv func(string) string) (next *Config, fixed []string, err error) {
	next, err = Load(func(key string) string {
		if key == "GW_DISCOVERY" {
			return ""
		}
		return getenv(key)
	})
	if err == nil && next.Settings.Limits.MaxAttempts < 1 {
		err = fmt.Errorf("settings.Limits.MaxAttempts: %d is not a positive number", next.Settings.Limits.MaxAttempts)
	}
	if err == nil {
		err = checkNoKeyMissing("", c.fileKeys, next.fileKeys)
	}
	if err != nil {
		return nil, nil, err
	}
	for _, f := range c.fixedKeys(next) {
		if !f.same {
			fixed = append(fixed, f.key)
			f.keep()
		}
	}
	return next, fixed, next.check()
}

// fixedKey is a key that can't change while the program runs.
type fixedKey struct {
	key  string
	same bool   // next has the value of c
	keep func() // gives next the value of c
}

// fixedKeys compares next with c in the keys that are fixed.
func (c *Config) fixedKeys(next *Config) []fixedKey {
	was, is := &c.Settings, &next.Settings
	return []fixedKey{
		{"name", c.Name == next.Name, func() { next.Name = c.Name }},
		{"listen", c.Listen == next.Listen, func() { next.Listen = c.Listen }},
		{"admin_addr", c.AdminAddr == next.AdminAddr, func() { next.AdminAddr = c.AdminAddr }},
		{"seed", c.Seed == next.Seed, func() { next.Seed = c.Seed }},
		{"limits", c.Limits == next.Limits, func() { next.Limits = c.Limits }},
		{"plankrouter", c.Extensions == next.Extensions, func() { next.Extensions = c.Extensions }},
		{"settings.Dcs", slices.Equal(was.Dcs, is.Dcs), func() { is.Dcs = was.Dcs }},
		{"settings.Locality", was.Locality == is.Locality, func() { is.Locality = was.Locality }},
		{"settings.Discovery", was.Discovery == is.Discovery, func() { is.Discovery = was.Discovery }},
		{"settings.Report", slices.Equal(was.Report.Names, is.Report.Names), func() { is.Report = was.Report }},
	}
}

// checkNoKeyMissing returns an error that names a key which one has and the other has not. For entries of lists see requiredKeys.
func checkNoKeyMissing(path string, one, other any) error {
	switch was := one.(type) {
	case map[string]any:
		is, _ := other.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(was)) {
			if path == "" && optionalKeys[key] {
				continue
			}
			if _, have := is[key]; !have {
				return fmt.Errorf("%s%s: missing, and it was there before: write the whole file", path, key)
			}
			if err := checkNoKeyMissing(path+key+".", was[key], is[key]); err != nil {
				return err
			}
		}
	case []any:
		is, _ := other.([]any)
		for i := 0; len(was) > 0 && path != "known.members." && i < len(is); i++ {
			if err := checkNoKeyMissing(fmt.Sprintf("%s[%d].", strings.TrimSuffix(path, "."), i), requiredKeys(was, is[i]), is[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

// requiredKeys has the keys that an entry of a list can't be without: those that the entry of its name had or, where there was none,
// those that all had. The order of the entries says nothing.
func requiredKeys(was []any, entry any) map[string]any {
	is, _ := entry.(map[string]any)
	name, _ := is["Name"].(string)
	first, _ := was[0].(map[string]any)
	common := maps.Clone(first)
	for _, w := range was {
		one, _ := w.(map[string]any)
		if one["Name"] == name && name != "" {
			return one
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, have := one[key]; return !have })
	}
	return common
}

// optionalKeys are the keys that a file may leave out though it had them.
var optionalKeys = map[string]bool{"plankrouter": true, "admin_addr": true}
