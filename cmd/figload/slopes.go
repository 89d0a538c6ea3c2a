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

func runSlopes(args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("slopes", flag.ContinueOnError)
	flags.SetOutput(errs)
	only := flags.String("only", "", "comma-separated `NAMES` of slopes; all if left out")
	asJSON := flags.Bool("json", false, "print JSON")
	if err := flags.Parse(args); err != nil {
		return err
	}
	wanted := map[string]bool{}
	for _, name := range strings.FieldsFunc(*only, func(r rune) bool { return r == ',' }) {
		wanted[name] = true
	}
	slopes, err := benchmarker.Run(wanted)
	if err != nil {
		return err
	}
	if *asJSON {
		return json.NewEncoder(out).Encode(slopes)
	}
	for _, s := range slopes {
		_, _ = fmt.Fprintf(out, "%s, by %s\n", s.Name, s.SizeUnit)
		for _, p := range s.Measurements {
			_, _ = fmt.Fprintf(out, "  %6d", p.Size)
			for _, name := range slices.Sorted(maps.Keys(p.Values)) {
				_, _ = fmt.Fprintf(out, "  %s %.4g", name, p.Values[name])
			}
			_, _ = fmt.Fprintln(out)
		}
	}
	return nil
}
