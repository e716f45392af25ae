package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one thing wrong with a settings file.
type Problem struct {
	File string
	// Line counts from 1; 0 if the file as a whole is meant.
	Line int
	// Field is a path such as institutions[0].teams[1].quota_slots; empty if
	// no field is meant.
	Field   string
	Problem string
}

// Error gives file, line, field and problem.
func (p Problem) Error() string {
	at := p.File
	if p.Line > 0 {
		at = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field == "" {
		return at + ": " + p.Problem
	}
	return at + ": " + p.Field + ": " + p.Problem
}

// Problems is everything found wrong with a settings file.
type Problems []Problem

// Error gives one problem a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// err returns the problems in the order of the file, nil if there are none.
func (ps Problems) err() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
	})
	return ps
}
