package hitchconfig

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Change is one field that differs between two revisions.
type Change struct {
	// Path names the field, such as Routes[guide-llm].Versions[v2].Weight.
	Path string
	// Before and After are the field's values as text; empty if the field doesn't
	// exist in that revision.
	Before string
	After  string
}

// String returns the change as one line of a diff.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Diff returns the fields that differ, in the order of the configuration's fields.
// It ignores the revision.
func Diff(before, after Configuration) []Change {
	before.Revision, after.Revision = 0, 0
	before.Format, after.Format = Format, Format
	var d differ
	d.compare("", reflect.ValueOf(before), reflect.ValueOf(after))
	return d.changes
}

// DiffText returns the diff of two revisions: a line with their numbers, then one line
// for each change.
func DiffText(before, after Configuration) string {
	lines := lo.Map(Diff(before, after), func(c Change, _ int) string { return c.String() })
	head := fmt.Sprintf("revision %d -> %d", before.Revision, after.Revision)
	return strings.Join(append([]string{head}, lines...), "\n") + "\n"
}

// differ recursively compares two values of the same type.
type differ struct {
	changes []Change
}

func (d *differ) compare(path string, a, b reflect.Value) {
	switch {
	case reflect.DeepEqual(a.Interface(), b.Interface()):
		return
	case a.Kind() == reflect.Struct && a.Type() != reflect.TypeFor[time.Time]():
		for i := range a.NumField() {
			field := a.Type().Field(i).Name
			d.compare(strings.TrimPrefix(path+"."+field, "."), a.Field(i), b.Field(i))
		}
	case a.Kind() == reflect.Slice:
		d.compareLists(path, a, b)
	default:
		before, after := formatValue(a), formatValue(b)
		if before != after {
			d.changes = append(d.changes, Change{Path: path, Before: before, After: after})
		}
	}
}

// compareLists matches the elements of two lists by name and compares each pair.
func (d *differ) compareLists(path string, a, b reflect.Value) {
	before, after := indexByName(a), indexByName(b)
	for i := range a.Len() {
		name := elementName(a.Index(i))
		j, ok := after[name]
		at := fmt.Sprintf("%s[%s]", path, name)
		if !ok {
			d.changes = append(d.changes, Change{Path: at, Before: formatValue(a.Index(i))})
			continue
		}
		d.compare(at, a.Index(i), b.Index(j))
	}
	for j := range b.Len() {
		name := elementName(b.Index(j))
		if _, ok := before[name]; !ok {
			d.changes = append(d.changes, Change{Path: fmt.Sprintf("%s[%s]", path, name), After: formatValue(b.Index(j))})
		}
	}
}

// indexByName returns the index of each element by its name.
func indexByName(list reflect.Value) map[string]int {
	all := make(map[string]int, list.Len())
	for i := range list.Len() {
		all[elementName(list.Index(i))] = i
	}
	return all
}

// elementName returns the name of a list's element: the first field of a struct, or
// the element itself.
func elementName(v reflect.Value) string {
	if v.Kind() == reflect.Struct {
		return formatValue(v.Field(0))
	}
	return formatValue(v)
}

// formatValue formats a value as text. Of a struct, it includes only the fields that
// aren't zero.
func formatValue(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case time.Time:
		if value.IsZero() {
			return "never"
		}
		return value.Format(time.RFC3339)
	case KeyHash:
		return value.String()
	case encoding.TextMarshaler:
		data, err := value.MarshalText()
		return lo.Ternary(err == nil, string(data), "?")
	}
	switch v.Kind() {
	case reflect.Struct:
		return formatStruct(v)
	case reflect.Slice:
		parts := make([]string, v.Len())
		for i := range parts {
			parts[i] = formatValue(v.Index(i))
		}
		return "[" + strings.Join(parts, " ") + "]"
	case reflect.String:
		return lo.Ternary(v.String() == "", "none", v.String())
	default:
		return fmt.Sprint(v.Interface())
	}
}

func formatStruct(v reflect.Value) string {
	var parts []string
	for i := range v.NumField() {
		if !v.Field(i).IsZero() {
			parts = append(parts, fmt.Sprintf("%s=%s", v.Type().Field(i).Name, formatValue(v.Field(i))))
		}
	}
	return "{" + strings.Join(parts, " ") + "}"
}
