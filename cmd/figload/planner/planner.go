// Package planner describes the deployments that the stand-ins play: the users'
// data centres, engines, services, configuration objects and instances.
package planner

import (
	"encoding/json"
	"fmt"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/loader"
)

// Fleet sizes and speeds. A decode engine's memory holds about twenty requests,
// and a prefill of a middling prompt costs as much as some tens of output tokens.
const (
	enginePieces = 48
	pieceTokens  = 1000
	// EngineSlots is how many requests a decode engine runs within the target for
	// the time between tokens.
	EngineSlots        = 20
	prefillTokensPerS  = 9000
	holdMillis         = 800
	transferTokensPerS = 60_000
	stepBaseMillis     = 9
	stepPerRequest     = 0.5
	cacheBlocks        = 2000
	loadLagMillis      = 1000
	instancesPerCentre = 2
	prefillPerCentre   = 2
	decodePerCentre    = 2
)

// User is one of the users' fleets.
type User struct {
	Name             string
	Region           string
	Pool             string
	Model            string
	InteractiveRoute string
	PatientRoute     string
	Service          string
	DataCentres      []figseam.DataCentre
	// EarlyStart is the setting recommended for the user.
	EarlyStart float64
	// NonIdempotentPaths are the paths of calls that must not be repeated.
	NonIdempotentPaths []string
	// MeanOutputTokens is the mean length of an answer.
	MeanOutputTokens int
	// FirstTokenTargetMillis is the interactive route's target.
	FirstTokenTargetMillis int64
}

// Users returns the users' fleets as the brief describes them.
func Users() []User {
	return []User{
		{
			Name: "pilhacasa", Region: "pt-norte", Pool: "lm-pool", Model: "lm", InteractiveRoute: "assistant", PatientRoute: "manual-reader",
			Service: "shop-api", DataCentres: []figseam.DataCentre{"norte-a", "norte-b", "norte-c"},
			EarlyStart: 0, NonIdempotentPaths: []string{"/orders", "/resets"}, MeanOutputTokens: 90, FirstTokenTargetMillis: 1300,
		},
		{
			Name: "kantamanto", Region: "gh-south", Pool: "strand-reader", Model: "strand", InteractiveRoute: "knots", PatientRoute: "archive",
			Service: "crew-desk", DataCentres: []figseam.DataCentre{"accra-central", "tema-port", "kasoa-west"},
			EarlyStart: 0, NonIdempotentPaths: []string{"/repairs"}, MeanOutputTokens: 100, FirstTokenTargetMillis: 1300,
		},
	}
}

// FindUser returns a user by name.
func FindUser(name string) (User, bool) {
	for _, u := range Users() {
		if u.Name == name {
			return u, true
		}
	}
	return User{}, false
}

// WithDataCentres returns a copy of the user that runs in other data centres.
func (u User) WithDataCentres(centres []figseam.DataCentre) User {
	u.DataCentres = centres
	return u
}

// EngineSettings returns the settings of the user's engines by data centre.
func (u User) EngineSettings() map[figseam.DataCentre][]emulator.EngineSettings {
	all := map[figseam.DataCentre][]emulator.EngineSettings{}
	for _, dc := range u.DataCentres {
		for i := range prefillPerCentre {
			all[dc] = append(all[dc], engine(u, dc, figseam.RolePrefill, i))
		}
		for i := range decodePerCentre {
			all[dc] = append(all[dc], engine(u, dc, figseam.RoleDecode, i))
		}
	}
	return all
}

func engine(u User, dc figseam.DataCentre, role figseam.Role, i int) emulator.EngineSettings {
	return emulator.EngineSettings{
		Name: figseam.EndpointID(fmt.Sprintf("%s-%s-%s-%d", u.Pool, dc, role, i+1)), Role: role,
		MemoryPieces: enginePieces, PieceTokens: pieceTokens, PrefillTokensPerSecond: prefillTokensPerS, PrefillResultTTLMillis: holdMillis,
		TransferTokensPerSecond: transferTokensPerS, StepBaseMillis: stepBaseMillis,
		StepPerRequestMillis: stepPerRequest, PrefixCacheBlocks: cacheBlocks, LoadReportDelayMillis: loadLagMillis,
	}
}

// ServiceEndpointID returns the name of the user's service endpoint in a data centre.
func (u User) ServiceEndpointID(dc figseam.DataCentre) figseam.EndpointID {
	return figseam.EndpointID(fmt.Sprintf("%s-%s", u.Service, dc))
}

// ConfigObjects returns the user's configuration objects. addresses holds the address
// of every endpoint.
func (u User) ConfigObjects(addresses map[figseam.EndpointID]string) []json.RawMessage {
	objects := []json.RawMessage{
		object(figseam.KindPool, figseam.Pool{
			Name: u.Pool, PieceTokens: pieceTokens, EarlyStart: u.EarlyStart, PrefillResultTTLMillis: holdMillis,
			PrefillTokensPerSecond: prefillTokensPerS, DecodeStepMillis: stepBaseMillis + EngineSlots*stepPerRequest,
			TransferTokensPerSecond: transferTokensPerS, Slots: EngineSlots,
		}),
		object(figseam.KindModel, figseam.Model{
			Name: u.Model, Pool: u.Pool, ExpectedOutputTokens: u.MeanOutputTokens, MaxOutputTokens: 4000,
		}),
		object(figseam.KindService, figseam.Service{Name: u.Service, KeyCheck: figseam.KeyCheckNone, NotRunStatuses: []int{503}}),
		object(figseam.KindRoute, figseam.Route{
			Name: u.InteractiveRoute, Model: u.Model, FirstTokenMillis: u.FirstTokenTargetMillis, BetweenTokensMillis: 25, Retries: 3,
		}),
		object(figseam.KindRoute, figseam.Route{Name: u.PatientRoute, Model: u.Model, NoDeadline: true, Retries: 3}),
		object(figseam.KindRoute, figseam.Route{
			Name: u.Service + "-reads", Service: u.Service, Idempotent: true, TimeoutMillis: 5000, Retries: 3,
		}),
	}
	for _, path := range u.NonIdempotentPaths {
		objects = append(objects, object(figseam.KindRoute, figseam.Route{
			Name: u.Service + path, Service: u.Service, Methods: []string{"POST"}, PathPrefix: path, TimeoutMillis: 5000,
		}))
	}
	return append(objects, u.endpoints(addresses)...)
}

func (u User) endpoints(addresses map[figseam.EndpointID]string) []json.RawMessage {
	var objects []json.RawMessage
	for _, dc := range u.DataCentres {
		for _, e := range u.EngineSettings()[dc] {
			objects = append(objects, object(figseam.KindEndpoint, figseam.Endpoint{
				Name: e.Name, Pool: u.Pool, Address: addresses[e.Name], DataCentre: dc, Role: e.Role, MemoryPieces: e.MemoryPieces,
			}))
		}
		name := u.ServiceEndpointID(dc)
		objects = append(objects, object(figseam.KindEndpoint, figseam.Endpoint{
			Name: name, Service: u.Service, Address: addresses[name], DataCentre: dc,
		}))
	}
	return objects
}

// object renders a configuration object with its kind.
func object(kind figseam.Kind, value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return json.RawMessage(fmt.Sprintf(`{"kind":%q,%s`, kind, text[1:]))
}

// InstanceSettings returns the settings of a deployment: two instances in each of three
// data centres, the first of each with a disk and a vote. next gives a free port.
func InstanceSettings(region string, centres []figseam.DataCentre, platform string, folder func(figseam.InstanceID) string, next func() string) []loader.Settings {
	var all []loader.Settings
	for _, dc := range centres {
		for i := range instancesPerCentre {
			s := loader.Settings{
				Instance: figseam.InstanceID(fmt.Sprintf("%s-%d", dc, i+1)), DataCentre: dc, Region: region,
				CallerAddress: next(), OperatorAddress: next(), PeerAddress: next(), MetricsAddress: next(), PlatformURL: platform,
			}
			if i == 0 {
				s.DataDir = folder(s.Instance)
			}
			all = append(all, s)
		}
	}
	var voters []loader.Voter
	var seeds []string
	for _, s := range all {
		if s.DataDir != "" {
			voters = append(voters, loader.Voter{Instance: s.Instance, Address: s.PeerAddress})
			seeds = append(seeds, s.PeerAddress)
		}
	}
	for i := range all {
		all[i].Voters, all[i].Seeds = voters, seeds
	}
	return all
}
