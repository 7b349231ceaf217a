package gossip

import "time"

const (
	// maxParts bounds the parts of a view; it fits one byte. A view of more endpoints than that holds is not sent.
	maxParts = 255
	// maxSenders bounds the views that are assembled at once.
	maxSenders = 8
)

// assembly puts the parts of views together. A newer revision of a sender takes the place of its older one, and the first
// view that is complete that of all others.
type assembly struct {
	views map[int]*partialView // by sender
}

// partialView is a view of which some parts have been received.
type partialView struct {
	revision int64
	parts    int
	received map[int][]uint32 // the ready incarnations, by part
}

// add takes in a part. It returns the incarnations that are ready once all parts have been received, else nil.
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

// view returns the partial view that a part belongs to, which it begins where there is none.
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

// ready returns the incarnations of all parts.
func (v *partialView) ready() map[uint32]bool {
	ready := map[uint32]bool{}
	for _, incarnations := range v.received {
		for _, incarnation := range incarnations {
			ready[incarnation] = true
		}
	}
	return ready
}

// SplitView divides a view into parts of a limited number of incarnations each. A view without incarnations is one part;
// one that needs too many parts is none.
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
