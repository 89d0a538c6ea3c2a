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

// Build makes a configuration of checked objects.
func Build(version uint64, objects []Object) *figseam.Config {
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
	return c
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
