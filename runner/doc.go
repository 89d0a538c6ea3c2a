// Package runner assembles instances: it opens the listeners that the settings name,
// starts the background tasks, and stops them in order. The programs and the end-to-end
// tests run instances through it.
package runner
