// Package decoder decodes JSON strictly into structs. Unknown fields, repeated fields and
// wrong types are faults, and every fault is reported with its line.
package decoder
