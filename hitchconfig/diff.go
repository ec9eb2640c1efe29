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
	// Before and After are the field's values in text; empty where there is none.
	Before string
	After  string
}

// String returns the change as a line of a diff.
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

// Diff returns the fields that differ, in the order of the configuration's
// fields. The revision itself is left out.
func Diff(before, after Configuration) []Change {
	before.Revision, after.Revision = 0, 0
	before.Format, after.Format = Format, Format
	var d differ
	d.compare("", reflect.ValueOf(before), reflect.ValueOf(after))
	return d.changes
}

// DiffText returns the diff of two revisions, one line for each change.
func DiffText(before, after Configuration) string {
	lines := lo.Map(Diff(before, after), func(c Change, _ int) string { return c.String() })
	head := fmt.Sprintf("revision %d -> %d", before.Revision, after.Revision)
	return strings.Join(append([]string{head}, lines...), "\n") + "\n"
}

// differ walks two values of one type.
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
		before, after := text(a), text(b)
		if before != after {
			d.changes = append(d.changes, Change{Path: path, Before: before, After: after})
		}
	}
}

// compareLists pairs the elements of two lists by name.
func (d *differ) compareLists(path string, a, b reflect.Value) {
	before, after := places(a), places(b)
	for i := range a.Len() {
		name := nameOf(a.Index(i))
		j, ok := after[name]
		at := fmt.Sprintf("%s[%s]", path, name)
		if !ok {
			d.changes = append(d.changes, Change{Path: at, Before: text(a.Index(i))})
			continue
		}
		d.compare(at, a.Index(i), b.Index(j))
	}
	for j := range b.Len() {
		name := nameOf(b.Index(j))
		if _, ok := before[name]; !ok {
			d.changes = append(d.changes, Change{Path: fmt.Sprintf("%s[%s]", path, name), After: text(b.Index(j))})
		}
	}
}

// places returns where in a list each name stands.
func places(list reflect.Value) map[string]int {
	all := make(map[string]int, list.Len())
	for i := range list.Len() {
		all[nameOf(list.Index(i))] = i
	}
	return all
}

// nameOf returns an element's name: its first field, or the element itself.
func nameOf(v reflect.Value) string {
	if v.Kind() == reflect.Struct {
		return text(v.Field(0))
	}
	return text(v)
}

// text returns a value in text: a struct as its fields that aren't zero.
func text(v reflect.Value) string {
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
		return structText(v)
	case reflect.Slice:
		parts := make([]string, v.Len())
		for i := range parts {
			parts[i] = text(v.Index(i))
		}
		return "[" + strings.Join(parts, " ") + "]"
	case reflect.String:
		return lo.Ternary(v.String() == "", "none", v.String())
	default:
		return fmt.Sprint(v.Interface())
	}
}

func structText(v reflect.Value) string {
	var parts []string
	for i := range v.NumField() {
		if !v.Field(i).IsZero() {
			parts = append(parts, fmt.Sprintf("%s=%s", v.Type().Field(i).Name, text(v.Field(i))))
		}
	}
	return "{" + strings.Join(parts, " ") + "}"
}
