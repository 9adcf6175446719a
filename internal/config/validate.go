package config

import (
	"sort"
	"strings"

	"filbertusher/pkg/usher"
)

// FieldError reports one invalid field of a declared object.
type FieldError struct {
	Key     usher.ObjectKey
	Field   string
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string {
	return strings.TrimPrefix(string(e.Key), string(Prefix)) + ": " + e.Field + ": " + e.Problem
}

// ValidationError collects every validation error of a configuration.
type ValidationError struct{ Errors []*FieldError }

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Errors))
	for i, item := range e.Errors {
		lines[i] = item.Error()
	}
	return strings.Join(lines, "\n")
}

// validator collects all errors instead of stopping at the first, so that an
// operator sees every one of them at once.
type validator struct {
	snapshot *Snapshot
	errors   []*FieldError
}

// Validate validates the references between objects and the uniqueness of models
// and tokens. It returns a *ValidationError.
func (s *Snapshot) Validate() error {
	v := &validator{snapshot: s}
	models := make(map[usher.ModelName]usher.ServiceName)
	for name, service := range s.Services {
		v.service(name, service, models)
	}
	tokens := make(map[string]usher.WorkspaceName)
	for name, workspace := range s.Workspaces {
		v.workspace(name, workspace, tokens)
	}
	for name, preset := range s.Presets {
		v.preset(name, preset)
	}
	for name, endpoint := range s.Endpoints {
		v.endpoint(name, endpoint)
	}
	if s.activePresetRef != nil && s.ActivePreset == nil {
		v.add(Key(KindActivePreset, ActivePresetName), "preset", "the active preset is not declared")
	}
	if len(v.errors) == 0 {
		return nil
	}
	sort.Slice(v.errors, func(i, j int) bool { return v.errors[i].Error() < v.errors[j].Error() })
	return &ValidationError{Errors: v.errors}
}

func (v *validator) add(key usher.ObjectKey, field, problem string) {
	v.errors = append(v.errors, &FieldError{Key: key, Field: field, Problem: problem})
}

func (v *validator) service(name usher.ServiceName, service *usher.Service, models map[usher.ModelName]usher.ServiceName) {
	key := Key(KindService, string(name))
	if service.Kind != usher.ServiceModel {
		return
	}
	if service.Model == "" {
		v.add(key, "model", "a service of kind model requires a model name")
		return
	}
	if other, taken := models[service.Model]; taken {
		v.add(key, "model", "service "+string(other)+" already serves it")
	}
	models[service.Model] = name
}

func (v *validator) workspace(name usher.WorkspaceName, workspace *usher.Workspace, tokens map[string]usher.WorkspaceName) {
	key := Key(KindWorkspace, string(name))
	for _, tier := range workspace.Tiers {
		if _, ok := v.snapshot.Tiers[tier]; !ok {
			v.add(key, "tiers", "tier "+string(tier)+" is not declared")
		}
	}
	for _, token := range workspace.Tokens {
		if other, taken := tokens[token.SHA256]; taken {
			v.add(key, "tokens", "token "+token.Name+" belongs to workspace "+string(other)+" already")
		}
		tokens[token.SHA256] = name
	}
}

func (v *validator) preset(name usher.PresetName, preset *usher.Preset) {
	for _, limits := range preset.Tiers {
		if _, ok := v.snapshot.Tiers[limits.Tier]; !ok {
			v.add(Key(KindPreset, string(name)), "tiers", "tier "+string(limits.Tier)+" is not declared")
		}
	}
}

func (v *validator) endpoint(name usher.EndpointName, endpoint *usher.Endpoint) {
	if _, ok := v.snapshot.Services[endpoint.Service]; !ok {
		v.add(Key(KindEndpoint, string(name)), "service", "service "+string(endpoint.Service)+" is not declared")
	}
}
