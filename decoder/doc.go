// Package decoder reads JSON strictly into structs: it refuses unknown and
// repeated fields and wrong types, and reports every fault with its line.
package decoder
