package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// renderDump prints a dump as text: a line per value, a table per list. It depends on no field
// names, so fields that a newer process adds are printed too.
func renderDump(w io.Writer, url string, raw []byte) error {
	var d yaml.MapSlice
	// JSON is valid YAML, and unlike encoding/json this decoder preserves the order of fields.
	if err := yaml.UnmarshalWithOptions(raw, &d, yaml.UseOrderedMap()); err != nil {
		return errors.Wrap(err, "decode dump")
	}
	fmt.Fprintf(w, "== %s\n", url)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	renderFields(tw, "", d)
	return errors.Wrap(tw.Flush(), "write dump")
}

// renderFields prints the fields of an object, those of nested objects under a prefix.
func renderFields(w *tabwriter.Writer, prefix string, fields yaml.MapSlice) {
	for _, f := range fields {
		name := prefix + label(fmt.Sprint(f.Key))
		switch v := f.Value.(type) {
		case yaml.MapSlice:
			renderFields(w, name+" / ", v)
		case []any:
			renderList(w, name, v)
		case nil:
			fmt.Fprintf(w, "%s\tnone\n", name)
		default:
			fmt.Fprintf(w, "%s\t%v\n", name, v)
		}
	}
}

// renderList prints a list of objects as a table, any other list with an item per line.
func renderList(w *tabwriter.Writer, name string, items []any) {
	// Flushing keeps the widths of the table's columns apart from those of the lines around it.
	_ = w.Flush()
	defer func() { _ = w.Flush() }()
	fmt.Fprintf(w, "%s: %d\n", name, len(items))
	keys, ok := columnKeys(items)
	if !ok {
		for _, item := range items {
			fmt.Fprintf(w, "  %v\n", item)
		}
		return
	}
	titles := make([]string, len(keys))
	for i, key := range keys {
		titles[i] = strings.ToUpper(label(key))
	}
	fmt.Fprintf(w, "  %s\n", strings.Join(titles, "\t"))
	for _, item := range items {
		cells := make([]string, len(keys))
		for i, key := range keys {
			cells[i] = fmt.Sprint(value(item.(yaml.MapSlice), key))
		}
		fmt.Fprintf(w, "  %s\n", strings.Join(cells, "\t"))
	}
}

// columnKeys lists the field names of all items in order of first occurrence; false if an item
// isn't an object.
func columnKeys(items []any) ([]string, bool) {
	var keys []string
	seen := make(map[string]bool)
	for _, item := range items {
		m, ok := item.(yaml.MapSlice)
		if !ok {
			return nil, false
		}
		for _, f := range m {
			key := fmt.Sprint(f.Key)
			if !seen[key] {
				seen[key] = true
				keys = append(keys, key)
			}
		}
	}
	return keys, true
}

// value returns a field of an object, or "-" if it has none of that name.
func value(m yaml.MapSlice, key string) any {
	for _, f := range m {
		if f.Key == key {
			return f.Value
		}
	}
	return "-"
}

// label converts the name of a field to words.
func label(key string) string {
	return strings.ReplaceAll(key, "_", " ")
}
