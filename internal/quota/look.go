package quota

import "filbertusher/pkg/usher"

// Look checks whether a request would fit now, as Check does, and changes nothing.
func (q *Quota) Look(workspace *usher.WorkspaceSpec, cost float64) Decision {
	if workspace.Rate <= 0 {
		return Decision{Allowed: true}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b, known := q.buckets[workspace.Name]
	if !known {
		defer delete(q.buckets, workspace.Name)
	} else {
		saved := *b
		defer func() { *b = saved }()
	}
	d, _ := q.decide(workspace, cost)
	return d
}
