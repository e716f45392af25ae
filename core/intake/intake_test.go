package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// small has room for four connections.
var small = Limits{Connections: 4, Bytes: 1000, ConnectionBytes: 10, MinReceiveTime: 100 * time.Millisecond}

func admit(g *WithT, i *Intake, now Time) ID {
	a := i.Admit(now)
	g.Expect(a.ID).NotTo(BeZero())
	return a.ID
}

// Guards against ordinary callers that find all places taken by connections on which nothing comes.
func TestTheSlowestCallerGivesWay(t *testing.T) {
	g := NewWithT(t)
	i := New(small)
	first := admit(g, i, 0)
	for n := range 3 {
		admit(g, i, Time(n+1))
	}
	a := i.Admit(50 * time.Millisecond)
	g.Expect(a.Wait).To(Equal(50*time.Millisecond), "the first caller has had less than its time")
	g.Expect(a.ID).To(BeZero())
	a = i.Admit(100 * time.Millisecond)
	g.Expect(a.ID).NotTo(BeZero())
	g.Expect(a.Closed).To(HaveLen(1))
	g.Expect(a.Closed[0]).To(Equal(Closed{ID: first, Reason: ForConnection, Age: 100 * time.Millisecond, Bytes: 10}))
}

// Guards against callers between two requests that lose their connections while others only occupy theirs.
func TestIdleConnectionsGiveWayLast(t *testing.T) {
	g := NewWithT(t)
	i := New(small)
	idle := admit(g, i, 0)
	i.EndRequest(1, idle)
	slow := admit(g, i, 2)
	i.BeginRequest(2, slow)
	admit(g, i, 3)
	admit(g, i, 4)
	a := i.Admit(time.Second)
	g.Expect(a.Closed).To(HaveLen(1))
	g.Expect(a.Closed[0].ID).To(Equal(slow))
}

// Guards against requests that are cut while they are being served.
func TestServedRequestsAreNotClosed(t *testing.T) {
	g := NewWithT(t)
	i := New(Limits{Connections: 2, Bytes: 1000, ConnectionBytes: 10})
	for n := range 2 {
		_, ok := i.Serve(Time(n), admit(g, i, Time(n)), 10)
		g.Expect(ok).To(BeTrue())
	}
	a := i.Admit(time.Hour)
	g.Expect(a).To(Equal(Admission{}), "neither admitted nor to wait")
	g.Expect(i.Expire(time.Hour, Timeouts{Head: 1, Body: 1, Idle: 1})).To(BeEmpty())
}

// Guards against places that are all taken by requests that are being served.
func TestSomePlacesAreKeptForReceiving(t *testing.T) {
	g := NewWithT(t)
	i := New(Limits{Connections: 8, Bytes: 10_000, ConnectionBytes: 10})
	served := 0
	for n := range 8 {
		if _, ok := i.Serve(Time(n), admit(g, i, Time(n)), 1); ok {
			served++
		}
	}
	g.Expect(served).To(Equal(7))
}

// Guards against bytes of unfinished requests that add up beyond the limit.
func TestUnfinishedRequestsGiveWay(t *testing.T) {
	g := NewWithT(t)
	i := New(small)
	first, second := admit(g, i, 0), admit(g, i, 1)
	i.BeginRequest(0, first)
	i.BeginRequest(1, second)
	_, ok := i.Receive(2, first, 900)
	g.Expect(ok).To(BeTrue())
	closed, ok := i.Receive(time.Second, second, 500)
	g.Expect(ok).To(BeTrue())
	g.Expect(closed).To(HaveLen(1))
	g.Expect(closed[0].ID).To(Equal(first))
	closed, ok = i.Receive(time.Second, second, 600)
	g.Expect(ok).To(BeFalse(), "nobody else could give way")
	g.Expect(closed[0].ID).To(Equal(second))
	g.Expect(i.Status()).To(Equal(Status{}))
}

// Guards against small requests that aren't served since large ones take all memory.
func TestLargeRequestsAreTurnedAwayFirst(t *testing.T) {
	g := NewWithT(t)
	i := New(Limits{Connections: 100, Bytes: 1000})
	served := 0
	for n := range 20 {
		if _, ok := i.Serve(Time(n), admit(g, i, Time(n)), 300); ok {
			served++
		}
	}
	g.Expect(served).To(Equal(2))
	_, ok := i.Serve(time.Second, admit(g, i, time.Second), 20)
	g.Expect(ok).To(BeTrue())
}

// Guards against phases without an end.
func TestPhasesExpire(t *testing.T) {
	g := NewWithT(t)
	i := New(small)
	fresh, head, body, idle := admit(g, i, 0), admit(g, i, 0), admit(g, i, 0), admit(g, i, 0)
	i.BeginRequest(0, head)
	i.EndHead(0, body, 5)
	i.EndRequest(0, idle)
	limits := Timeouts{Head: 3 * time.Second, Body: 30 * time.Second, Idle: 15 * time.Second}
	g.Expect(i.Expire(2*time.Second, limits)).To(BeEmpty())
	g.Expect(reasonOf(i.Expire(3*time.Second, limits))).To(Equal(map[ID]Reason{head: HeadTimeout}))
	g.Expect(reasonOf(i.Expire(15*time.Second, limits))).To(Equal(map[ID]Reason{fresh: IdleTimeout, idle: IdleTimeout}))
	g.Expect(reasonOf(i.Expire(30*time.Second, limits))).To(Equal(map[ID]Reason{body: BodyTimeout}))
}

func reasonOf(list []Closed) map[ID]Reason {
	m := make(map[ID]Reason)
	for _, c := range list {
		m[c.ID] = c.Reason
	}
	return m
}

// Guards against counts that drift from the connections that are held, and limits that are exceeded, under random calls.
func TestRandomCalls(t *testing.T) {
	for seed := range uint64(200) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 0))
		limits := Limits{Connections: 5, Bytes: 500, ConnectionBytes: 20, MinReceiveTime: 5}
		i := New(limits)
		var ids []ID
		now := Time(0)
		for range 300 {
			now += Time(rng.IntN(4))
			if len(ids) == 0 || rng.IntN(4) == 0 {
				if a := i.Admit(now); a.ID != 0 {
					ids = append(ids, a.ID)
				}
				continue
			}
			id := ids[rng.IntN(len(ids))]
			switch rng.IntN(7) {
			case 0:
				i.BeginRequest(now, id)
			case 1:
				i.EndHead(now, id, 0)
			case 2:
				i.Receive(now, id, int64(rng.IntN(200)))
			case 3:
				i.Serve(now, id, int64(rng.IntN(200)))
			case 4:
				i.EndRequest(now, id)
			case 5:
				i.Remove(id)
			case 6:
				i.Release(id, int64(rng.IntN(50)))
			}
			g.Expect(len(i.connections)).To(BeNumerically("<=", limits.Connections), "seed %d", seed)
			g.Expect(i.bytes).To(BeNumerically("<=", limits.Bytes), "seed %d", seed)
			sum, held := int64(0), 0
			for p := range i.byPhase {
				held += i.byPhase[p].Len()
			}
			for _, c := range i.connections {
				sum += c.bytes
			}
			g.Expect(i.bytes).To(Equal(sum), "seed %d", seed)
			g.Expect(held).To(Equal(len(i.connections)), "seed %d", seed)
		}
	}
}
