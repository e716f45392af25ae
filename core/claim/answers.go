package claim

import (
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Memory of a retained answer besides its encoded size, in bytes: answerOverhead for the map
// entry, the list entry and the headers, and resultOverhead for each result.
const (
	answerOverhead = 550
	resultOverhead = 90
)

// RetainedAnswer is the final answer to one submission.
type RetainedAnswer struct {
	ID     task.ID
	Answer *pb.Answer
	// Until is when the answer may be removed.
	Until task.Time
	// seq numbers the answers in the order in which they were put.
	seq uint64
	// size is the memory of the answer, in bytes.
	size int
}

// Answers retains final answers for resubmissions, up to a size limit for each institution, so
// that one institution's large answers don't evict another's.
//
// Removing an answer is safe: a resubmission isn't taken for a new submission, because the Issuer
// still has an issued number as used, and the claim row of an own key still names its holder.
type Answers struct {
	// limit is the maximum memory of an institution's answers, in bytes.
	limit int
	byID  map[task.ID]*RetainedAnswer
	// lists holds the answers of each institution.
	lists map[string]*answerList
	// bytes is the memory of all answers, seq the number of answers put.
	bytes int
	seq   uint64
}

// memorySize estimates the memory of a retained answer, in bytes.
func memorySize(a *pb.Answer) int {
	return proto.Size(a) + answerOverhead + resultOverhead*len(a.GetResults())
}

// answerList has one institution's answers. Those to issued ids and those to own keys are in
// separate lists, each with the oldest first. All answers of a kind are retained for the same time,
// so that the oldest of a list expires first.
type answerList struct {
	// byKind has the two lists by idKindIndex.
	byKind [2][]*RetainedAnswer
	bytes  int
}

// NewAnswers returns a store that retains up to limit bytes for each institution.
func NewAnswers(limit int) *Answers {
	return &Answers{limit: limit, byID: make(map[task.ID]*RetainedAnswer), lists: make(map[string]*answerList)}
}

// Put retains an answer and evicts the institution's oldest answers beyond the limit. It doesn't
// replace an answer that is already retained.
func (a *Answers) Put(id task.ID, answer *pb.Answer, until task.Time) {
	if a.byID[id] != nil {
		return
	}
	a.seq++
	retained := &RetainedAnswer{ID: id, Answer: answer, Until: until, seq: a.seq, size: memorySize(answer)}
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

// idKindIndex is the index of an id's kind in answerList.byKind: 0 for issued ids, 1 for own keys.
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

// evictOldest removes the answer that was put first. If the one with the earliest Until were
// removed instead, a new answer to an issued id would be removed before old ones to own keys,
// and a caller that resubmits at once wouldn't get it.
func (a *Answers) evictOldest(list *answerList) {
	issued, own := list.byKind[0], list.byKind[1]
	if len(own) == 0 || len(issued) > 0 && issued[0].seq < own[0].seq {
		a.evictFirst(list, 0)
		return
	}
	a.evictFirst(list, 1)
}

func (a *Answers) evictFirst(list *answerList, kind int) {
	evicted := list.byKind[kind][0]
	list.byKind[kind][0] = nil
	list.byKind[kind] = list.byKind[kind][1:]
	delete(a.byID, evicted.ID)
	a.addBytes(list, -evicted.size)
}

// Get returns the answer to a submission, or nil if it isn't retained.
func (a *Answers) Get(id task.ID) *pb.Answer {
	if retained := a.byID[id]; retained != nil {
		return retained.Answer
	}
	return nil
}

// Expire removes the answers whose Until has passed.
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

// Len is the number of retained answers.
func (a *Answers) Len() int { return len(a.byID) }

// Bytes is the memory of the retained answers, in bytes.
func (a *Answers) Bytes() int { return a.bytes }

// All lists the retained answers in the order of the institutions' names. For each institution it
// lists those to issued ids, oldest first, and then those to own keys, oldest first.
func (a *Answers) All() []*RetainedAnswer {
	list := make([]*RetainedAnswer, 0, len(a.byID))
	for _, name := range sortedKeys(a.lists) {
		for _, answers := range a.lists[name].byKind {
			list = append(list, answers...)
		}
	}
	return list
}
