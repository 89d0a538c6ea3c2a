package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/figseam/figseam/cmd/figload/benchmarker"
)

func runSlopes(args []string, stdout, stderr io.Writer) error {
	flags := flag.NewFlagSet("slopes", flag.ContinueOnError)
	flags.SetOutput(stderr)
	only := flags.String("only", "", "comma-separated `NAMES` of slopes; all if left out")
	asJSON := flags.Bool("json", false, "print JSON")
	if err := flags.Parse(args); err != nil {
		return err
	}
	selected := map[string]bool{}
	for _, name := range strings.FieldsFunc(*only, func(r rune) bool { return r == ',' }) {
		selected[name] = true
	}
	curves, err := benchmarker.Run(selected)
	if err != nil {
		return err
	}
	if *asJSON {
		return json.NewEncoder(stdout).Encode(curves)
	}
	for _, c := range curves {
		_, _ = fmt.Fprintf(stdout, "%s, by %s\n", c.Name, c.SizeUnit)
		for _, m := range c.Measurements {
			_, _ = fmt.Fprintf(stdout, "  %6d", m.Size)
			for _, name := range slices.Sorted(maps.Keys(m.Values)) {
				_, _ = fmt.Fprintf(stdout, "  %s %.4g", name, m.Values[name])
			}
			_, _ = fmt.Fprintln(stdout)
		}
	}
	return nil
}
