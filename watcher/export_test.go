package watcher

import "context"

// FetchList reads the platform's list once.
func (w *Watcher) FetchList(ctx context.Context) (PlatformList, error) { return w.fetchList(ctx) }
