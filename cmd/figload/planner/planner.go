// Package planner defines the emulated deployments: the users' data centres, engines,
// services, configuration objects and instances.
package planner

import (
	"encoding/json"
	"fmt"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/loader"
)

// Fleet sizes and speeds. A decode engine's memory holds about twenty requests, and the
// prefill of a prompt of medium length takes as long as some tens of output tokens.
const (
	engineMemoryPieces = 48
	pieceTokens        = 1000
	// EngineSlots is the number of concurrent requests at which a decode engine still meets
	// the target for the time between tokens.
	EngineSlots                 = 20
	prefillTokensPerSecond      = 9000
	prefillResultTTLMillis      = 800
	transferTokensPerSecond     = 60_000
	stepBaseMillis              = 9
	stepPerRequestMillis        = 0.5
	prefixCacheBlocks           = 2000
	loadReportDelayMillis       = 1000
	instancesPerDataCentre      = 2
	prefillEnginesPerDataCentre = 2
	decodeEnginesPerDataCentre  = 2
)

// User describes the fleet and the traffic of one user.
type User struct {
	Name             string
	Region           string
	Pool             string
	Model            string
	InteractiveRoute string
	NoDeadlineRoute  string
	Service          string
	DataCentres      []figseam.DataCentre
	// EarlyStart is the recommended early_start setting of the user's pool.
	EarlyStart float64
	// NonIdempotentPaths are the path prefixes of calls that must not be executed twice.
	NonIdempotentPaths []string
	// MeanOutputTokens is the mean length of an answer in tokens.
	MeanOutputTokens int
	// FirstTokenTargetMillis is the target for the time to the first token on the
	// interactive route.
	FirstTokenTargetMillis int64
}

// Users returns the users that the project brief specifies.
func Users() []User {
	return []User{
		{
			Name: "pilhacasa", Region: "pt-norte", Pool: "lm-pool", Model: "lm", InteractiveRoute: "assistant", NoDeadlineRoute: "manual-reader",
			Service: "shop-api", DataCentres: []figseam.DataCentre{"norte-a", "norte-b", "norte-c"},
			EarlyStart: 0, NonIdempotentPaths: []string{"/orders", "/resets"}, MeanOutputTokens: 90, FirstTokenTargetMillis: 1300,
		},
		{
			Name: "kantamanto", Region: "gh-south", Pool: "strand-reader", Model: "strand", InteractiveRoute: "knots", NoDeadlineRoute: "archive",
			Service: "crew-desk", DataCentres: []figseam.DataCentre{"accra-central", "tema-port", "kasoa-west"},
			EarlyStart: 0, NonIdempotentPaths: []string{"/repairs"}, MeanOutputTokens: 100, FirstTokenTargetMillis: 1300,
		},
	}
}

// FindUser returns the user with the name, and false if there is none.
func FindUser(name string) (User, bool) {
	for _, u := range Users() {
		if u.Name == name {
			return u, true
		}
	}
	return User{}, false
}

// WithDataCentres returns a copy of the user with other data centres.
func (u User) WithDataCentres(centres []figseam.DataCentre) User {
	u.DataCentres = centres
	return u
}

// EngineSettings returns the settings of the user's engines by data centre.
func (u User) EngineSettings() map[figseam.DataCentre][]emulator.EngineSettings {
	all := map[figseam.DataCentre][]emulator.EngineSettings{}
	for _, dc := range u.DataCentres {
		for i := range prefillEnginesPerDataCentre {
			all[dc] = append(all[dc], engineSettings(u, dc, figseam.RolePrefill, i))
		}
		for i := range decodeEnginesPerDataCentre {
			all[dc] = append(all[dc], engineSettings(u, dc, figseam.RoleDecode, i))
		}
	}
	return all
}

func engineSettings(u User, dc figseam.DataCentre, role figseam.Role, index int) emulator.EngineSettings {
	return emulator.EngineSettings{
		Name: figseam.EndpointID(fmt.Sprintf("%s-%s-%s-%d", u.Pool, dc, role, index+1)), Role: role,
		MemoryPieces: engineMemoryPieces, PieceTokens: pieceTokens, PrefillTokensPerSecond: prefillTokensPerSecond, PrefillResultTTLMillis: prefillResultTTLMillis,
		TransferTokensPerSecond: transferTokensPerSecond, StepBaseMillis: stepBaseMillis,
		StepPerRequestMillis: stepPerRequestMillis, PrefixCacheBlocks: prefixCacheBlocks, LoadReportDelayMillis: loadReportDelayMillis,
	}
}

// ServiceEndpointID returns the ID of the user's service endpoint in a data centre.
func (u User) ServiceEndpointID(dc figseam.DataCentre) figseam.EndpointID {
	return figseam.EndpointID(fmt.Sprintf("%s-%s", u.Service, dc))
}

// ConfigObjects returns the user's configuration objects as JSON. baseURLs must hold the
// base URL of every endpoint.
func (u User) ConfigObjects(baseURLs map[figseam.EndpointID]string) []json.RawMessage {
	objects := []json.RawMessage{
		encodeObject(figseam.KindPool, figseam.Pool{
			Name: u.Pool, PieceTokens: pieceTokens, EarlyStart: u.EarlyStart, PrefillResultTTLMillis: prefillResultTTLMillis,
			PrefillTokensPerSecond: prefillTokensPerSecond, DecodeStepMillis: stepBaseMillis + EngineSlots*stepPerRequestMillis,
			TransferTokensPerSecond: transferTokensPerSecond, Slots: EngineSlots,
		}),
		encodeObject(figseam.KindModel, figseam.Model{
			Name: u.Model, Pool: u.Pool, ExpectedOutputTokens: u.MeanOutputTokens, MaxOutputTokens: 4000,
		}),
		encodeObject(figseam.KindService, figseam.Service{Name: u.Service, KeyCheck: figseam.KeyCheckNone, NotRunStatuses: []int{503}}),
		encodeObject(figseam.KindRoute, figseam.Route{
			Name: u.InteractiveRoute, Model: u.Model, FirstTokenMillis: u.FirstTokenTargetMillis, BetweenTokensMillis: 25, Retries: 3,
		}),
		encodeObject(figseam.KindRoute, figseam.Route{Name: u.NoDeadlineRoute, Model: u.Model, NoDeadline: true, Retries: 3}),
		encodeObject(figseam.KindRoute, figseam.Route{
			Name: u.Service + "-reads", Service: u.Service, Idempotent: true, TimeoutMillis: 5000, Retries: 3,
		}),
	}
	for _, path := range u.NonIdempotentPaths {
		objects = append(objects, encodeObject(figseam.KindRoute, figseam.Route{
			Name: u.Service + path, Service: u.Service, Methods: []string{"POST"}, PathPrefix: path, TimeoutMillis: 5000,
		}))
	}
	return append(objects, u.endpointObjects(baseURLs)...)
}

func (u User) endpointObjects(baseURLs map[figseam.EndpointID]string) []json.RawMessage {
	var objects []json.RawMessage
	for _, dc := range u.DataCentres {
		for _, e := range u.EngineSettings()[dc] {
			objects = append(objects, encodeObject(figseam.KindEndpoint, figseam.Endpoint{
				Name: e.Name, Pool: u.Pool, Address: baseURLs[e.Name], DataCentre: dc, Role: e.Role, MemoryPieces: e.MemoryPieces,
			}))
		}
		name := u.ServiceEndpointID(dc)
		objects = append(objects, encodeObject(figseam.KindEndpoint, figseam.Endpoint{
			Name: name, Service: u.Service, Address: baseURLs[name], DataCentre: dc,
		}))
	}
	return objects
}

// encodeObject encodes a configuration object as JSON and adds its kind. It panics if the
// encoding fails.
func encodeObject(kind figseam.Kind, value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return json.RawMessage(fmt.Sprintf(`{"kind":%q,%s`, kind, encoded[1:]))
}

// InstanceSettings returns the settings of a deployment with two instances in each data
// centre. The first of each data centre is a voter and has a data directory, which dataDir
// returns. nextAddress returns an unused listen address on each call.
func InstanceSettings(region string, centres []figseam.DataCentre, platformURL string, dataDir func(figseam.InstanceID) string, nextAddress func() string) []loader.Settings {
	var all []loader.Settings
	for _, dc := range centres {
		for i := range instancesPerDataCentre {
			s := loader.Settings{
				Instance: figseam.InstanceID(fmt.Sprintf("%s-%d", dc, i+1)), DataCentre: dc, Region: region,
				CallerAddress: nextAddress(), OperatorAddress: nextAddress(), PeerAddress: nextAddress(), MetricsAddress: nextAddress(), PlatformURL: platformURL,
			}
			if i == 0 {
				s.DataDir = dataDir(s.Instance)
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
