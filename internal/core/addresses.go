package core

import "spokegw/internal/discovery"

// addresses knows which listed endpoint has each address. Two processes can't have the same one: where
// another id comes to an address, the endpoint that was there has gone, though the list may name it
// for some time. What is sent to it would reach the new one.
type addresses struct {
	owners   map[string]*endpoint      // by address
	replaced map[string]replacedOrigin // by the id of an endpoint that has gone and may still be listed
	update   uint64                    // counts the lists and changes that were applied
}

// replacedOrigin is what an endpoint was listed with when another took its address.
type replacedOrigin struct {
	addr      string
	startedMS int64
}

// maxReplaced bounds the endpoints that are remembered as replaced.
const maxReplaced = 4096

func newAddresses() addresses {
	return addresses{owners: map[string]*endpoint{}, replaced: map[string]replacedOrigin{}}
}

// rival returns the other endpoint that was listed at the address of an entry, or nil, and reports
// whether the entry's is the one that is there now: the one that has started later or, of two that
// started at the same time or long ago, the one that comes to the address of the other. Two that are
// first listed together stay, as nothing tells which of them is there.
func (a *addresses) rival(e *discovery.Entry, current *endpoint) (rival *endpoint, replaces bool) {
	rival = a.owners[e.Addr]
	if rival == nil || rival.name == e.ID || e.Addr == "" {
		return nil, true
	}
	if started := rival.entry.StartedMS; started != e.StartedMS {
		return rival, e.StartedMS > started
	}
	if a.replaced[e.ID] == (replacedOrigin{e.Addr, e.StartedMS}) {
		return rival, false
	}
	if known := current != nil && current.addr == e.Addr; known || rival.addressSince == a.update {
		return nil, true
	}
	return rival, true
}

// add records that an endpoint has its address; previous is what it was listed as before, or nil.
func (a *addresses) add(e *endpoint, previous *endpoint) {
	e.addressSince = a.update
	if previous != nil && previous.addr == e.addr {
		e.addressSince = previous.addressSince
	} else if previous != nil {
		a.remove(previous)
	}
	a.owners[e.addr] = e
	delete(a.replaced, e.name)
}

// remove records that an endpoint has its address no more.
func (a *addresses) remove(e *endpoint) {
	if a.owners[e.addr] == e {
		delete(a.owners, e.addr)
	}
}

// replace records that another endpoint has taken the address of one.
func (a *addresses) replace(e *endpoint) {
	if len(a.replaced) >= maxReplaced {
		clear(a.replaced)
	}
	a.remove(e)
	a.replaced[e.name] = replacedOrigin{e.addr, e.entry.StartedMS}
}

// unlisted forgets an endpoint that the list no longer names.
func (a *addresses) unlisted(name string) { delete(a.replaced, name) }

// keepNamed forgets the endpoints that a full list does not name.
func (a *addresses) keepNamed(list []discovery.Entry) {
	if len(a.replaced) == 0 {
		return
	}
	kept := map[string]replacedOrigin{}
	for i := range list {
		if origin, known := a.replaced[list[i].ID]; known {
			kept[list[i].ID] = origin
		}
	}
	a.replaced = kept
}
