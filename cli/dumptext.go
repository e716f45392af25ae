package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// renderDump prints a dump as text: values by line, lists as tables. It knows
// no field by name, so what a newer process adds is shown too.
func renderDump(w io.Writer, url string, raw []byte) error {
	var d yaml.MapSlice
	// JSON is YAML, and this decoder keeps the order of fields.
	if err := yaml.UnmarshalWithOptions(raw, &d, yaml.UseOrderedMap()); err != nil {
		return errors.Wrap(err, "decode dump")
	}
	fmt.Fprintf(w, "== %s\n", url)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	renderFields(tw, "", d)
	return errors.Wrap(tw.Flush(), "write dump")
}

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

func renderList(w *tabwriter.Writer, name string, items []any) {
	// Flushed, a table's columns don't widen those round it.
	_ = w.Flush()
	defer func() { _ = w.Flush() }()
	fmt.Fprintf(w, "%s: %d\n", name, len(items))
	head, ok := columns(items)
	if !ok {
		for _, item := range items {
			fmt.Fprintf(w, "  %v\n", item)
		}
		return
	}
	titles := make([]string, len(head))
	for i, key := range head {
		titles[i] = strings.ToUpper(label(key))
	}
	fmt.Fprintf(w, "  %s\n", strings.Join(titles, "\t"))
	for _, item := range items {
		cells := make([]string, len(head))
		for i, key := range head {
			cells[i] = fmt.Sprint(value(item.(yaml.MapSlice), key))
		}
		fmt.Fprintf(w, "  %s\n", strings.Join(cells, "\t"))
	}
}

// columns lists the fields of all items in the order met; false if an item
// isn't an object.
func columns(items []any) ([]string, bool) {
	var head []string
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
				head = append(head, key)
			}
		}
	}
	return head, true
}

func value(m yaml.MapSlice, key string) any {
	for _, f := range m {
		if f.Key == key {
			return f.Value
		}
	}
	return "-"
}

func label(key string) string {
	return strings.ReplaceAll(key, "_", " ")
}
