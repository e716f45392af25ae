package config

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// unit converts the text of a value with its unit to the number in the settings message.
type unit struct {
	// suffix is the end of the field's name in the message; its name in the file leaves
	// it out.
	suffix string
	parse  func(text string) (uint64, error)
}

// units lists the units, each with the suffix of the fields that use it.
var units = []unit{
	{"_ms", func(t string) (uint64, error) { return parseDuration(t, time.Millisecond) }},
	{"_s", func(t string) (uint64, error) { return parseDuration(t, time.Second) }},
	{"_bytes", func(t string) (uint64, error) { return parseSize(t, 1) }},
	{"_mib", func(t string) (uint64, error) { return parseSize(t, 1<<20) }},
	{"_percent", parsePercent},
	{"_millis", parseMilliCores},
}

// cutUnit returns the unit of a field of the message and the field's name in the file.
func cutUnit(field string) (unit, string) {
	for _, u := range units {
		if name, ok := strings.CutSuffix(field, u.suffix); ok {
			return u, name
		}
	}
	return unit{parse: parseCount}, field
}

func parseCount(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, errors.Errorf("%q isn't a whole number from 0 to %d", text, uint32(math.MaxUint32))
	}
	return n, nil
}

// parseDuration returns a duration as a number of steps; it must be a whole number of them.
func parseDuration(text string, step time.Duration) (uint64, error) {
	d, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return 0, errors.Errorf("%q isn't a time with its unit, such as 250ms, 30s or 1h", text)
	}
	if d < 0 {
		return 0, errors.Errorf("%q is negative", text)
	}
	if d%step != 0 {
		return 0, errors.Errorf("%q isn't a whole number of %s", text, step)
	}
	return uint64(d / step), nil
}

// sizeUnits are the binary units; KB is rejected, since it may mean 1000 or 1024 bytes.
var sizeUnits = []struct {
	name  string
	bytes uint64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// parseSize returns a size as a number of steps of the given number of bytes.
func parseSize(text string, step uint64) (uint64, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 32)
		if err != nil {
			break
		}
		bytes := n * u.bytes
		if bytes%step != 0 {
			return 0, errors.Errorf("%q isn't a whole number of MiB", text)
		}
		return bytes / step, nil
	}
	return 0, errors.Errorf("%q isn't a size with its unit, such as 512B, 64KiB or 256MiB", text)
}

func parsePercent(text string) (uint64, error) {
	digits, ok := strings.CutSuffix(text, "%")
	n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 32)
	if !ok || err != nil {
		return 0, errors.Errorf("%q isn't a whole percentage with its sign, such as 20%%", text)
	}
	return n, nil
}

// parseMilliCores returns a CPU share in thousandths of a core.
func parseMilliCores(text string) (uint64, error) {
	digits, ok := strings.CutSuffix(text, "m")
	n, err := strconv.ParseUint(digits, 10, 32)
	if !ok || err != nil {
		return 0, errors.Errorf("%q isn't a number of thousandths of a core with its unit, such as 1500m", text)
	}
	return n, nil
}
