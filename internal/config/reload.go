package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Reload reads the file again and checks it completely. The file's discovery address overrides GW_DISCOVERY, because the
// environment dates from the start of the process and the file is newer. A key that the file had before must still be
// present: a truncated file is rejected, not read as a change. fixed has the keys that differ but can't change while the
// program runs; next keeps c's values for them.
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

// fixedKey is a key that can't change while the program runs, compared between the configurations c and next of Reload.
type fixedKey struct {
	key  string
	same bool   // next has the same value as c
	keep func() // sets the key's value in next to that in c
}

// fixedKeys returns all fixed keys, each with the result of comparing c and next.
func (c *Config) fixedKeys(next *Config) []fixedKey {
	before, after := &c.Settings, &next.Settings
	return []fixedKey{
		{"name", c.Name == next.Name, func() { next.Name = c.Name }},
		{"listen", c.Listen == next.Listen, func() { next.Listen = c.Listen }},
		{"admin_addr", c.AdminAddr == next.AdminAddr, func() { next.AdminAddr = c.AdminAddr }},
		{"seed", c.Seed == next.Seed, func() { next.Seed = c.Seed }},
		{"limits", c.Limits == next.Limits, func() { next.Limits = c.Limits }},
		{"plankrouter", c.Extensions == next.Extensions, func() { next.Extensions = c.Extensions }},
		{"settings.Dcs", slices.Equal(before.Dcs, after.Dcs), func() { after.Dcs = before.Dcs }},
		{"settings.Locality", before.Locality == after.Locality, func() { after.Locality = before.Locality }},
		{"settings.Discovery", before.Discovery == after.Discovery, func() { after.Discovery = before.Discovery }},
		{"settings.Report", slices.Equal(before.Report.Names, after.Report.Names), func() { after.Report = before.Report }},
	}
}

// checkNoKeyMissing returns an error that names a key that oldValue has and newValue lacks. path is the prefix of the
// keys. The entries of a list are compared as requiredKeys specifies.
func checkNoKeyMissing(path string, oldValue, newValue any) error {
	switch before := oldValue.(type) {
	case map[string]any:
		after, _ := newValue.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(before)) {
			if path == "" && optionalKeys[key] {
				continue
			}
			if _, present := after[key]; !present {
				return fmt.Errorf("%s%s: missing, but present before: write the complete file", path, key)
			}
			if err := checkNoKeyMissing(path+key+".", before[key], after[key]); err != nil {
				return err
			}
		}
	case []any:
		after, _ := newValue.([]any)
		for i := 0; len(before) > 0 && path != "known.members." && i < len(after); i++ {
			if err := checkNoKeyMissing(fmt.Sprintf("%s[%d].", strings.TrimSuffix(path, "."), i), requiredKeys(before, after[i]), after[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

// requiredKeys returns the keys that an entry of a list must have: those of the entry of the same name in before or, if
// there is none, those that all entries of before have. The order of the entries doesn't matter.
func requiredKeys(before []any, entry any) map[string]any {
	after, _ := entry.(map[string]any)
	name, _ := after["Name"].(string)
	first, _ := before[0].(map[string]any)
	common := maps.Clone(first)
	for _, b := range before {
		keys, _ := b.(map[string]any)
		if keys["Name"] == name && name != "" {
			return keys
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, present := keys[key]; return !present })
	}
	return common
}

// optionalKeys are the top-level keys that may be removed from the file in a reload.
var optionalKeys = map[string]bool{"plankrouter": true, "admin_addr": true}
