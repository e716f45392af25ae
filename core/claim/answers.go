package claim

import (
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// What a kept answer costs beside its encoded size, in bytes: the map entry,
// the list entry and the headers, and those of each result, as measured by
// BenchmarkAnswers.
const (
	answerOverhead = 550
	resultOverhead = 90
)

// RetainedAnswer is the final answer to one submission.
type RetainedAnswer struct {
	ID     task.ID
	Answer *pb.Answer
	// Until is when it may be forgotten.
	Until task.Time
	// seq grows with each answer put.
	seq  uint64
	size int
}

// Answers keeps final answers for resubmissions, within a limit for each
// institution, so that one with large answers doesn't push out another's.
//
// Nothing depends on an answer being kept but the answer itself: a forgotten
// submission is never taken for a new one, because the Issuer still knows the
// number and the claim row still names its holder.
type Answers struct {
	limit int
	byID  map[task.ID]*RetainedAnswer
	lists map[string]*answerList
	bytes int
	seq   uint64
}

func encodedCost(a *pb.Answer) int {
	return proto.Size(a) + answerOverhead + resultOverhead*len(a.GetResults())
}

// answerList holds one institution's answers, oldest first, apart by kind of
// id: the ids of a kind are kept equally long, so that the oldest is the first
// to be forgotten.
type answerList struct {
	byKind [2][]*RetainedAnswer
	bytes  int
}

// NewAnswers returns a store that keeps up to limit bytes an institution.
func NewAnswers(limit int) *Answers {
	return &Answers{limit: limit, byID: make(map[task.ID]*RetainedAnswer), lists: make(map[string]*answerList)}
}

// Put keeps an answer and forgets the oldest of the institution beyond the
// limit. An answer that is kept already isn't replaced.
func (a *Answers) Put(id task.ID, answer *pb.Answer, until task.Time) {
	if a.byID[id] != nil {
		return
	}
	a.seq++
	retained := &RetainedAnswer{ID: id, Answer: answer, Until: until, seq: a.seq, size: encodedCost(answer)}
	list := a.lists[id.Institution]
	if list == nil {
		list = &answerList{}
		a.lists[id.Institution] = list
	}
	kind := idKindIndex(id)
	list.byKind[kind] = append(list.byKind[kind], retained)
	a.byID[id] = retained
	a.addBytes(list, retained.size)
	for list.bytes > a.limit {
		a.evictOldest(list)
	}
}

func idKindIndex(id task.ID) int {
	if id.Issued() {
		return 0
	}
	return 1
}

func (a *Answers) addBytes(list *answerList, n int) {
	list.bytes += n
	a.bytes += n
}

// evictOldest forgets the answer that was put first. Chosen by the time until
// which they may be kept, a new answer under an issued id would go before old
// ones under own keys, and its caller, asking again at once, wouldn't find it.
func (a *Answers) evictOldest(list *answerList) {
	issued, own := list.byKind[0], list.byKind[1]
	if len(own) == 0 || len(issued) > 0 && issued[0].seq < own[0].seq {
		a.evictFirst(list, 0)
		return
	}
	a.evictFirst(list, 1)
}

func (a *Answers) evictFirst(list *answerList, kind int) {
	k := list.byKind[kind][0]
	list.byKind[kind][0] = nil
	list.byKind[kind] = list.byKind[kind][1:]
	delete(a.byID, k.ID)
	a.addBytes(list, -k.size)
}

// Get finds the answer of a submission; nil if it isn't kept.
func (a *Answers) Get(id task.ID) *pb.Answer {
	if k := a.byID[id]; k != nil {
		return k.Answer
	}
	return nil
}

// Expire forgets what is past its time.
func (a *Answers) Expire(now task.Time) {
	for name, list := range a.lists {
		for kind := range list.byKind {
			for len(list.byKind[kind]) > 0 && list.byKind[kind][0].Until <= now {
				a.evictFirst(list, kind)
			}
		}
		if len(list.byKind[0])+len(list.byKind[1]) == 0 {
			delete(a.lists, name)
		}
	}
}

// Len is the number of answers kept.
func (a *Answers) Len() int { return len(a.byID) }

// Bytes is what they cost, in bytes.
func (a *Answers) Bytes() int { return a.bytes }

// All lists what is kept, institutions in name order, oldest first.
func (a *Answers) All() []*RetainedAnswer {
	list := make([]*RetainedAnswer, 0, len(a.byID))
	for _, name := range sortedKeys(a.lists) {
		for _, kept := range a.lists[name].byKind {
			list = append(list, kept...)
		}
	}
	return list
}
