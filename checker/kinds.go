package checker

import (
	"maps"
	"slices"
	"strings"

	"github.com/figseam/figseam"
)

// kinds is the table of object kinds. A new kind is a row here, a check in
// checks and a map in figseam.Config.
var kinds = map[figseam.Kind]reader{
	figseam.KindPool:         typed[figseam.Pool](),
	figseam.KindEndpoint:     typed[figseam.Endpoint](),
	figseam.KindService:      typed[figseam.Service](),
	figseam.KindModel:        typed[figseam.Model](),
	figseam.KindRoute:        typed[figseam.Route](),
	figseam.KindAccountClass: typed[figseam.AccountClass](),
	figseam.KindAccount:      typed[figseam.AccountObject](),
}

func kindNames() string {
	names := make([]string, 0, len(kinds))
	for _, k := range slices.Sorted(maps.Keys(kinds)) {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}

// NewConfig makes a configuration of checked objects.
func NewConfig(version uint64, objects []Object) *figseam.Config {
	c := &figseam.Config{
		Version:   version,
		Pools:     map[string]figseam.Pool{},
		Endpoints: map[figseam.EndpointID]figseam.Endpoint{},
		Services:  map[string]figseam.Service{},
		Models:    map[string]figseam.Model{},
		Routes:    map[string]figseam.Route{},
		Classes:   map[string]figseam.AccountClass{},
		Accounts:  map[figseam.Account]figseam.AccountObject{},
	}
	for _, o := range objects {
		add(c, o.Value)
	}
	return c.WithPoolIndex()
}

func add(c *figseam.Config, value any) {
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
		c.Classes[v.Name] = v
	case figseam.AccountObject:
		c.Accounts[v.Name] = v
	}
}

// UpdateConfig returns a copy of a configuration with checked objects added or replaced
// and others removed. A nil configuration counts as empty.
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
		copyKind(&c, kind)
	}
	for _, id := range remove {
		drop(&c, id)
	}
	for _, o := range objects {
		add(&c, o.Value)
	}
	if changed[figseam.KindEndpoint] {
		return c.WithPoolIndex()
	}
	return &c
}

// copyKind gives a configuration a map of its own for a kind.
func copyKind(c *figseam.Config, kind figseam.Kind) {
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
		c.Classes = maps.Clone(c.Classes)
	case figseam.KindAccount:
		c.Accounts = maps.Clone(c.Accounts)
	}
}

func drop(c *figseam.Config, id figseam.ObjectID) {
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
		delete(c.Classes, id.Name)
	case figseam.KindAccount:
		delete(c.Accounts, figseam.Account(id.Name))
	}
}
