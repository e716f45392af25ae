package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is a single mistake in a settings file.
type Problem struct {
	File string
	// Line counts from 1; 0 if the problem concerns the whole file.
	Line int
	// Field is a path such as institutions[0].teams[1].quota_slots; empty if the problem
	// isn't in a field.
	Field   string
	Problem string
}

// Error formats the problem as file, line, field and text.
func (p Problem) Error() string {
	position := p.File
	if p.Line > 0 {
		position = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field == "" {
		return position + ": " + p.Problem
	}
	return position + ": " + p.Field + ": " + p.Problem
}

// Problems lists all mistakes found in a settings file.
type Problems []Problem

// Error formats one problem per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// err returns the problems sorted by line and field; nil if there are none.
func (ps Problems) err() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
	})
	return ps
}
