package checker

import (
	"maps"
	"slices"
	"strings"

	"github.com/figseam/figseam"
)

// kindDecoders holds the decoder of each object kind. A new kind also needs a check in
// checkObject, a map in figseam.Config, and cases in addObject, cloneKindMap and
// removeObject.
var kindDecoders = map[figseam.Kind]kindDecoder{
	figseam.KindPool:         decodeAs[figseam.Pool](),
	figseam.KindEndpoint:     decodeAs[figseam.Endpoint](),
	figseam.KindService:      decodeAs[figseam.Service](),
	figseam.KindModel:        decodeAs[figseam.Model](),
	figseam.KindRoute:        decodeAs[figseam.Route](),
	figseam.KindAccountClass: decodeAs[figseam.AccountClass](),
	figseam.KindAccount:      decodeAs[figseam.AccountObject](),
}

// kindNames returns the sorted kinds, separated by commas.
func kindNames() string {
	names := make([]string, 0, len(kindDecoders))
	for _, k := range slices.Sorted(maps.Keys(kindDecoders)) {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}

// NewConfig returns a configuration that consists of the objects. It does not validate
// them.
func NewConfig(version uint64, objects []Object) *figseam.Config {
	c := &figseam.Config{
		Version:        version,
		Pools:          map[string]figseam.Pool{},
		Endpoints:      map[figseam.EndpointID]figseam.Endpoint{},
		Services:       map[string]figseam.Service{},
		Models:         map[string]figseam.Model{},
		Routes:         map[string]figseam.Route{},
		AccountClasses: map[string]figseam.AccountClass{},
		Accounts:       map[figseam.Account]figseam.AccountObject{},
	}
	for _, o := range objects {
		addObject(c, o.Value)
	}
	return c.WithPoolIndex()
}

func addObject(c *figseam.Config, value any) {
	switch v := value.(type) {
	case figseam.Pool:
		c.Pools[v.Name] = v
	case figseam.Endpoint:
		c.Endpoints[v.Name] = v
	case figseam.Service:
		c.Services[v.Name] = v
	case figseam.Model:
		c.Models[v.Name] = v
	case figseam.Route:
		c.Routes[v.Name] = v
	case figseam.AccountClass:
		c.AccountClasses[v.Name] = v
	case figseam.AccountObject:
		c.Accounts[v.Name] = v
	}
}

// UpdateConfig returns a copy of a configuration in which validated objects are added or
// replaced and others removed. A nil configuration is treated as empty. The copy shares
// the maps of the kinds that did not change.
func UpdateConfig(old *figseam.Config, version uint64, objects []Object, remove []figseam.ObjectID) *figseam.Config {
	if old == nil {
		return NewConfig(version, objects)
	}
	c := *old
	c.Version = version
	changed := map[figseam.Kind]bool{}
	for _, o := range objects {
		changed[o.ID.Kind] = true
	}
	for _, id := range remove {
		changed[id.Kind] = true
	}
	for kind := range changed {
		cloneKindMap(&c, kind)
	}
	for _, id := range remove {
		removeObject(&c, id)
	}
	for _, o := range objects {
		addObject(&c, o.Value)
	}
	if changed[figseam.KindEndpoint] {
		return c.WithPoolIndex()
	}
	return &c
}

// cloneKindMap replaces the map of a kind by a copy, so that changes do not affect the
// configuration from which c was copied.
func cloneKindMap(c *figseam.Config, kind figseam.Kind) {
	switch kind {
	case figseam.KindPool:
		c.Pools = maps.Clone(c.Pools)
	case figseam.KindEndpoint:
		c.Endpoints = maps.Clone(c.Endpoints)
	case figseam.KindService:
		c.Services = maps.Clone(c.Services)
	case figseam.KindModel:
		c.Models = maps.Clone(c.Models)
	case figseam.KindRoute:
		c.Routes = maps.Clone(c.Routes)
	case figseam.KindAccountClass:
		c.AccountClasses = maps.Clone(c.AccountClasses)
	case figseam.KindAccount:
		c.Accounts = maps.Clone(c.Accounts)
	}
}

func removeObject(c *figseam.Config, id figseam.ObjectID) {
	switch id.Kind {
	case figseam.KindPool:
		delete(c.Pools, id.Name)
	case figseam.KindEndpoint:
		delete(c.Endpoints, figseam.EndpointID(id.Name))
	case figseam.KindService:
		delete(c.Services, id.Name)
	case figseam.KindModel:
		delete(c.Models, id.Name)
	case figseam.KindRoute:
		delete(c.Routes, id.Name)
	case figseam.KindAccountClass:
		delete(c.AccountClasses, id.Name)
	case figseam.KindAccount:
		delete(c.Accounts, figseam.Account(id.Name))
	}
}
