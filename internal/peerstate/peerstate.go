// Package peerstate encodes what an instance states regularly to its peers: its loads,
// demand and rate limits, and its use of quotas. A statement holds only what changed since
// the revision that the peer has acknowledged, and the receiver applies it to what it holds.
//
// Changes are absolute values, so a statement applies to every revision from the one that
// it is based on, and neither a lost statement nor one that arrives twice does harm:
//
//	sender at revision 7             receiver
//	whole, revision 7           ->   holds 7, acknowledges 7
//	changes since 7, revision 8 ->   lost
//	changes since 7, revision 9 ->   holds 9, acknowledges 9
//	changes since 9, revision 10 ->  restarted, holds nothing, acknowledges 0
//	whole, revision 11          ->   holds 11, acknowledges 11
//
// Names are sent once. Later changes refer to them by their index in the sender's table.
package peerstate

import (
	"math"
	"time"

	"filbertusher/internal/dispatch"
	"filbertusher/internal/quota"
	"filbertusher/pkg/usher"
)

// Revision numbers the states of one process, from 1. 0 is that of a receiver that holds
// nothing.
type Revision uint64

// State is what an instance states. Of the quota's report, it has Age, Used and Demand.
type State struct {
	Dispatch dispatch.Report
	Quota    quota.Report
}

// Part is a table of the state.
type Part int

// The parts of the state.
const (
	Loads Part = iota
	Demand
	Limits
	QuotaUsed
	QuotaDemand
	partCount
)

// String returns the part's name in metrics.
func (p Part) String() string {
	return [...]string{"loads", "demand", "limits", "quotaUsed", "quotaDemand"}[p]
}

// Parts returns all parts.
func Parts() []Part { return []Part{Loads, Demand, Limits, QuotaUsed, QuotaDemand} }

// measurementStep gives the least change of a measurement that is stated, as the fraction
// 1/measurementStep of the one that was stated last. An engine's speed is measured anew with
// each event.
const measurementStep = 8

// steadyLoads returns the loads with the measurements that were stated last where they have
// changed little since.
func steadyLoads(last, loads map[usher.EndpointName]dispatch.Load) map[usher.EndpointName]dispatch.Load {
	steady := make(map[usher.EndpointName]dispatch.Load, len(loads))
	for name, load := range loads {
		stated := last[name]
		load.PaceMS = steadyMeasurement(stated.PaceMS, load.PaceMS)
		load.RatioPercent = steadyMeasurement(stated.RatioPercent, load.RatioPercent)
		steady[name] = load
	}
	return steady
}

func steadyMeasurement(stated, measured int) int {
	if stated > 0 && measured > 0 && max(stated-measured, measured-stated)*measurementStep <= stated {
		return stated
	}
	return measured
}

// demandUnit is the resolution of a stated demand, in slots.
const demandUnit = 0.01

// encode returns the values of a part by name. Absent values are left out.
func (s *State) encode(part Part) map[string]string {
	values := make(map[string]string)
	add := func(name string, value []uint64) {
		if encoded := appendFields(nil, value); len(value) > 0 {
			values[name] = string(encoded)
		}
	}
	switch part {
	case Loads:
		for name, l := range s.Dispatch.Loads {
			add(string(name), trim([]uint64{natural(l.Running), natural(int(l.Prefill)), natural(l.PaceMS), natural(l.RatioPercent)}))
		}
	case Demand:
		for name, demand := range s.Dispatch.Demand {
			fields := make([]uint64, len(demand))
			for rank, slots := range demand {
				fields[rank] = amount(slots / demandUnit)
			}
			add(string(name), trim(fields))
		}
	case Limits:
		for name, l := range s.Dispatch.Limits {
			named := uint64(1)
			if l.Named {
				named = 2
			}
			// The time at which the limit was observed changes only with the limit.
			observed := max(0, s.Quota.Age-l.Age).Truncate(time.Millisecond)
			add(string(name), []uint64{named, uint64(l.Born), math.Float64bits(l.PerSecond), uint64(observed.Milliseconds())})
		}
	case QuotaUsed, QuotaDemand:
		amounts := s.Quota.Used
		if part == QuotaDemand {
			amounts = s.Quota.Demand
		}
		for name, value := range amounts {
			add(string(name), trim([]uint64{amount(value)}))
		}
	}
	return values
}

// trim returns the fields without the zeros at the end.
func trim(fields []uint64) []uint64 {
	for len(fields) > 0 && fields[len(fields)-1] == 0 {
		fields = fields[:len(fields)-1]
	}
	return fields
}

func natural(n int) uint64 { return uint64(max(0, n)) }

// maxAmount bounds the amounts that are stated.
const maxAmount = 1 << 53

func amount(value float64) uint64 {
	return uint64(math.Round(max(0, min(value, maxAmount))))
}

// set sets the value of a name, or removes it if there are no fields. The Age of a limit is
// set to that of the sender's process when it was observed.
func (s *State) set(part Part, name string, fields []uint64) {
	// Fields that a later version adds are ignored, and those left out are zero.
	var f [maxFields]uint64
	copy(f[:], fields)
	absent := len(fields) == 0
	switch part {
	case Loads:
		setOrDelete(s.Dispatch.Loads, usher.EndpointName(name), absent, dispatch.Load{
			Running: int(min(f[0], math.MaxInt32)), Prefill: usher.Tokens(min(f[1], math.MaxInt32)),
			PaceMS: int(min(f[2], math.MaxInt32)), RatioPercent: int(min(f[3], math.MaxInt32)),
		})
	case Demand:
		var demand dispatch.Demand
		for rank := range demand {
			demand[rank] = float64(f[rank]) * demandUnit
		}
		setOrDelete(s.Dispatch.Demand, usher.ServiceName(name), absent, demand)
	case Limits:
		observed := time.Duration(min(f[3], math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
		setOrDelete(s.Dispatch.Limits, usher.EndpointName(name), absent, dispatch.NamedLimit{
			Born: int64(f[1]), Named: f[0] == 2, PerSecond: math.Float64frombits(f[2]), Age: observed,
		})
	case QuotaUsed:
		setOrDelete(s.Quota.Used, usher.WorkspaceName(name), absent, float64(min(f[0], maxAmount)))
	case QuotaDemand:
		setOrDelete(s.Quota.Demand, usher.WorkspaceName(name), absent, float64(min(f[0], maxAmount)))
	}
}

func setOrDelete[K comparable, V any](values map[K]V, key K, absent bool, value V) {
	if absent {
		delete(values, key)
		return
	}
	values[key] = value
}
