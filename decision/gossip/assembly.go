package gossip

import "time"

const (
	// maxParts is the maximum number of parts of a view, which fits one byte. A view that needs more parts is not sent.
	maxParts = 255
	// maxSenders is the maximum number of views that are assembled at the same time. A part from a further sender
	// discards them all.
	maxSenders = 8
)

// assembly reassembles views from their parts. A different revision from the same sender replaces its earlier view,
// and all partial views are discarded once one view is complete.
type assembly struct {
	views map[int]*partialView // by sender
}

// partialView is a view of which only some parts have been received.
type partialView struct {
	revision int64
	parts    int
	received map[int][]uint32 // ready incarnations by part
}

// add adds a part. It returns the ready incarnations once all parts have been received, and nil before that and for an
// invalid part.
func (a *assembly) add(sender int, part View) map[uint32]bool {
	if part.Parts <= 0 || part.Parts > maxParts || part.Part < 0 || part.Part >= part.Parts {
		return nil
	}
	view := a.view(sender, part.Revision, part.Parts)
	view.received[part.Part] = part.Ready
	if len(view.received) < view.parts {
		return nil
	}
	a.views = nil
	return view.ready()
}

// view returns the partial view that a part belongs to. It creates one if there is none.
func (a *assembly) view(sender int, revision int64, parts int) *partialView {
	view := a.views[sender]
	if view != nil && view.revision == revision && view.parts == parts {
		return view
	}
	if view == nil && len(a.views) >= maxSenders {
		a.views = nil
	}
	if a.views == nil {
		a.views = map[int]*partialView{}
	}
	view = &partialView{revision: revision, parts: parts, received: map[int][]uint32{}}
	a.views[sender] = view
	return view
}

// ready returns the ready incarnations of all parts.
func (v *partialView) ready() map[uint32]bool {
	ready := map[uint32]bool{}
	for _, incarnations := range v.received {
		for _, incarnation := range incarnations {
			ready[incarnation] = true
		}
	}
	return ready
}

// SplitView splits a view into parts of at most limit incarnations each. A view without incarnations is a single
// part. For a view that needs more than maxParts parts SplitView returns nil.
func SplitView(revision int64, age time.Duration, ready []uint32, limit int) []View {
	parts := max(1, (len(ready)+limit-1)/limit)
	if parts > maxParts {
		return nil
	}
	views := make([]View, parts)
	for i := range views {
		start, end := min(i*limit, len(ready)), min((i+1)*limit, len(ready))
		views[i] = View{Revision: revision, Age: age, Part: i, Parts: parts, Ready: ready[start:end]}
	}
	return views
}
