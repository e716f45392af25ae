// Package intake decides which connections and requests of callers a process holds at the same time, so that it stays
// within the memory and the descriptors of its machine: whom it admits, whose connection it evicts for others, and
// which requests it sheds. It does no input or output and reads no clock.
//
// A connection is closed only while no whole request of it is being served. Under pressure those are evicted first
// that have been sending a request for the longest, and then those between two requests.
package intake

import (
	"container/list"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// Time is a reading of the process's monotonic clock.
type Time = task.Time

// ID identifies an admitted connection.
type ID uint64

// Limits bound what the connections of a listener take.
type Limits struct {
	// Connections is the most that are open.
	Connections int
	// Bytes is the most memory that connections and their requests take together.
	Bytes int64
	// ConnectionBytes is what a connection takes without a request.
	ConnectionBytes int64
	// MinReceiveTime is how long a caller has for sending its request before its connection may be closed for
	// another one.
	MinReceiveTime time.Duration
	// KeepIdle: connections between two requests aren't evicted for others, and a caller for whom no place can be made
	// waits.
	KeepIdle bool
}

// Timeouts bound how long a connection may stay in a phase.
type Timeouts struct {
	// Head is for the head of a request, from its first byte on.
	Head time.Duration
	// Body is for the body, from the end of the head.
	Body time.Duration
	// Idle is for a connection without a request: between two, or before the first.
	Idle time.Duration
}

// Reason is why a connection is closed.
type Reason uint8

// The reasons for which a connection is closed.
const (
	// ForConnection: another caller needs the place.
	ForConnection Reason = iota
	// ForMemory: another request needs the memory.
	ForMemory
	// HeadTimeout, BodyTimeout and IdleTimeout: the phase took too long.
	HeadTimeout
	BodyTimeout
	IdleTimeout
	reasons
)

var reasonNames = [reasons]string{"connection-limit", "memory-limit", "head-timeout", "body-timeout", "idle-timeout"}

// String returns the name for logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Closed is a connection to be closed. It isn't held any more.
type Closed struct {
	ID     ID
	Reason Reason
	// Age is how long the connection was in its last phase, and Bytes the memory that was reserved for it.
	Age   time.Duration
	Bytes int64
}

// phase is what a connection is doing. All but serving may be ended by a close.
type phase uint8

const (
	// fresh: nothing has been received.
	fresh phase = iota
	// head: the head of a request is being received.
	head
	// body: the body of a request is being received.
	body
	// idle: the last request was answered, and no byte of the next one has come.
	idle
	// serving: a whole request is being served.
	serving
	phases
)

// connection is an open connection.
type connection struct {
	id    ID
	phase phase
	// since is when the phase began.
	since Time
	bytes int64
	place *list.Element
}

// Intake holds the open connections of one listener. It isn't safe for concurrent use.
type Intake struct {
	limits      Limits
	lastID      ID
	connections map[ID]*connection
	// byPhase has the connections of each phase in the order in which they entered it.
	byPhase [phases]*list.List
	bytes   int64
}

// New returns an intake without connections.
func New(l Limits) *Intake {
	i := &Intake{limits: l, connections: make(map[ID]*connection)}
	for p := range i.byPhase {
		i.byPhase[p] = list.New()
	}
	return i
}

// Admission is the decision on a new connection.
type Admission struct {
	// ID is that of the connection if it is admitted, else 0.
	ID ID
	// Closed are the connections that are evicted for it.
	Closed []Closed
	// Wait is how long to wait before the decision is asked for again; 0 if there is a decision.
	Wait time.Duration
}

// Admit decides on a new connection. If all places are taken, one whose caller hasn't sent a whole request is closed
// for it. If all callers are being served, the new one isn't admitted.
func (i *Intake) Admit(now Time) Admission {
	var closed []Closed
	for len(i.connections) >= i.limits.Connections || i.bytes+i.limits.ConnectionBytes > i.limits.Bytes {
		victim := i.slowest()
		if victim == nil && i.limits.KeepIdle {
			return Admission{Closed: closed, Wait: i.limits.MinReceiveTime}
		}
		if victim == nil {
			victim = i.oldest(idle)
		}
		if victim == nil {
			return Admission{Closed: closed}
		}
		if wait := i.limits.MinReceiveTime - (now - victim.since); wait > 0 && victim.phase != idle {
			return Admission{Closed: closed, Wait: wait}
		}
		closed = append(closed, i.close(now, victim, ForConnection))
	}
	i.lastID++
	c := &connection{id: i.lastID, phase: fresh, since: now, bytes: i.limits.ConnectionBytes}
	c.place = i.byPhase[fresh].PushBack(c)
	i.connections[c.id] = c
	i.bytes += c.bytes
	return Admission{ID: c.id, Closed: closed}
}

// oldest returns the connection that has been in a phase for the longest; nil if there is none.
func (i *Intake) oldest(p phase) *connection {
	first := i.byPhase[p].Front()
	if first == nil {
		return nil
	}
	return first.Value.(*connection)
}

// slowest returns the connection whose request has been awaited or received for the longest; nil if there is none.
func (i *Intake) slowest() *connection {
	var slowest *connection
	for _, p := range []phase{fresh, head, body} {
		if c := i.oldest(p); c != nil && (slowest == nil || c.since < slowest.since) {
			slowest = c
		}
	}
	return slowest
}

// closable returns the connection that has been sending a request for the longest, if its caller has had
// MinReceiveTime.
func (i *Intake) closable(now Time) *connection {
	c := i.slowest()
	if c == nil || now-c.since < i.limits.MinReceiveTime {
		return nil
	}
	return c
}

// close removes a connection and returns it as one to be closed.
func (i *Intake) close(now Time, c *connection, r Reason) Closed {
	i.Remove(c.id)
	return Closed{ID: c.id, Reason: r, Age: now - c.since, Bytes: c.bytes}
}

// Remove removes a connection that has ended. It does nothing if the connection isn't held.
func (i *Intake) Remove(id ID) {
	c := i.connections[id]
	if c == nil {
		return
	}
	delete(i.connections, id)
	i.byPhase[c.phase].Remove(c.place)
	i.bytes -= c.bytes
}

// enter moves a connection to a phase, which begins now.
func (i *Intake) enter(now Time, id ID, p phase) {
	c := i.connections[id]
	if c == nil || c.phase == p {
		return
	}
	i.byPhase[c.phase].Remove(c.place)
	c.phase, c.since = p, now
	c.place = i.byPhase[p].PushBack(c)
}

// BeginRequest records that the first bytes of a request have come.
func (i *Intake) BeginRequest(now Time, id ID) { i.enter(now, id, head) }

// EndHead records that the head of a request is whole, and what it takes while the request is being served.
func (i *Intake) EndHead(now Time, id ID, bytes int64) {
	i.enter(now, id, body)
	i.set(id, bytes)
}

// EndRequest records that a request was answered.
func (i *Intake) EndRequest(now Time, id ID) {
	i.enter(now, id, idle)
	i.set(id, 0)
}

// set makes a connection's reservation the given bytes in addition to those of a connection without a request.
func (i *Intake) set(id ID, bytes int64) {
	c := i.connections[id]
	if c == nil {
		return
	}
	i.bytes += i.limits.ConnectionBytes + bytes - c.bytes
	c.bytes = i.limits.ConnectionBytes + bytes
}

// Receive reserves memory for bytes of a request that is being received. If too little is free, the connections that
// have been sending for the longest are closed; the given one may be among them, and ok is false then.
func (i *Intake) Receive(now Time, id ID, bytes int64) (closed []Closed, ok bool) {
	c := i.connections[id]
	if c == nil {
		return nil, false
	}
	for i.bytes+bytes > i.limits.Bytes {
		victim := i.closable(now)
		if victim == nil || victim == c {
			return append(closed, i.close(now, c, ForMemory)), false
		}
		closed = append(closed, i.close(now, victim, ForMemory))
	}
	c.bytes += bytes
	i.bytes += bytes
	return closed, true
}

// Release returns a part of what was reserved for a connection.
func (i *Intake) Release(id ID, bytes int64) {
	c := i.connections[id]
	if c == nil {
		return
	}
	bytes = min(bytes, c.bytes-i.limits.ConnectionBytes)
	c.bytes -= bytes
	i.bytes -= bytes
}

const (
	// servingShare is the part of all places, one in so many, that is kept from requests that are being served: with
	// all places taken no other caller could send its request.
	servingShare = 8
	// freeShare is the part of the free memory, one in so many, that one request may take. Large requests are shed
	// first, so that small ones are still served.
	freeShare = 2
)

// Serve reserves memory for serving a request that was received, and reports whether it may be served. If too little
// is free, connections that are still sending a request are closed first.
func (i *Intake) Serve(now Time, id ID, bytes int64) (closed []Closed, ok bool) {
	c := i.connections[id]
	if c == nil || i.byPhase[serving].Len() >= i.limits.Connections-i.limits.Connections/servingShare {
		return nil, false
	}
	i.enter(now, id, serving)
	for bytes > (i.limits.Bytes-i.bytes)/freeShare {
		victim := i.closable(now)
		if victim == nil {
			return closed, false
		}
		closed = append(closed, i.close(now, victim, ForMemory))
	}
	c.bytes += bytes
	i.bytes += bytes
	return closed, true
}

// Occupy records that a whole request is being served, for which no memory is reserved.
func (i *Intake) Occupy(now Time, id ID) { i.enter(now, id, serving) }

// Expire returns the connections whose phase has taken too long. A timeout of 0 is none.
func (i *Intake) Expire(now Time, t Timeouts) []Closed {
	var closed []Closed
	for _, e := range []struct {
		phase   phase
		timeout time.Duration
		reason  Reason
	}{{fresh, t.Idle, IdleTimeout}, {head, t.Head, HeadTimeout}, {body, t.Body, BodyTimeout}, {idle, t.Idle, IdleTimeout}} {
		for c := i.oldest(e.phase); c != nil && e.timeout > 0 && now-c.since >= e.timeout; c = i.oldest(e.phase) {
			closed = append(closed, i.close(now, c, e.reason))
		}
	}
	return closed
}

// Status counts the open connections.
type Status struct {
	// Receiving are those that await or receive a request, Idle those between two requests, and Serving those whose
	// request is being served.
	Receiving, Idle, Serving int
	// Bytes is the memory that is reserved.
	Bytes int64
}

// Status returns the present counts.
func (i *Intake) Status() Status {
	return Status{
		Receiving: i.byPhase[fresh].Len() + i.byPhase[head].Len() + i.byPhase[body].Len(),
		Idle:      i.byPhase[idle].Len(),
		Serving:   i.byPhase[serving].Len(),
		Bytes:     i.bytes,
	}
}
