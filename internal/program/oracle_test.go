package program

import (
	"bytes"
	"fmt"
	"strings"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// request is a caller request and its answer, as recorded by the oracle.
type request struct {
	owner   *owner
	program id.Program
	branch  string
	key     string
	body    string
	kind    string // "model", "service", "open" or "other"
	from    int64
	got     []byte
	begun   bool
	done    bool
	ok      bool
	problem *Problem
	status  int
	reply   []byte
}

// oracle checks the guarantees P1 to P7 from the runs at endpoints, the answers to callers and the state of
// a reader of the whole log:
//
//   - P1: the calls of a branch take effect in the order of their sequence numbers.
//   - P2: acknowledged answers are recorded, and a branch has only its own history.
//   - P3: a program spends no more than its limits.
//   - P4: no engine keeps the cache of an ended program.
//   - P5: each request is answered once, with the complete answer to its key.
//   - P6: a call that was refused as not run was not run.
//   - P7: a non-idempotent call is executed at most once, with a committed intent.
type oracle struct {
	w            *world
	next         ReqID
	reqs         map[ReqID]*request
	openRequests map[callKey]int // number of requests without an answer, by key
	acked        map[callKey][]byte
	refused      map[callKey]bool // the last answer was "not run"
	tokens       map[id.Program]int64
	charge       map[id.Program]int64
	limits       map[id.Program]record.Limits
	lastSeq      map[string]uint64
	ended        map[id.Program]bool
}

func newOracle(w *world) *oracle {
	return &oracle{
		w: w, reqs: map[ReqID]*request{}, openRequests: map[callKey]int{}, acked: map[callKey][]byte{},
		refused: map[callKey]bool{}, tokens: map[id.Program]int64{}, charge: map[id.Program]int64{},
		limits: map[id.Program]record.Limits{}, lastSeq: map[string]uint64{}, ended: map[id.Program]bool{},
	}
}

func (x *oracle) addRequest(r request) ReqID {
	x.next++
	x.reqs[x.next] = &r
	x.openRequests[callKey{r.program, r.key}]++
	// The repeated key may run even if its caller gets no answer because the instance dies.
	x.refused[callKey{r.program, r.key}] = false
	return x.next
}

// applied checks P1 and P2 on the valid records of the log.
func (x *oracle) applied(e fsm.Effect) {
	if e.Verdict != fsm.Valid {
		return
	}
	switch r := e.Record.(type) {
	case record.Open:
		x.limits[r.Program] = r.Limits
	case record.End:
		x.ended[r.Program] = true
	case record.Turn:
		x.checkOrder(r.Call)
		x.checkHistory(r)
	case record.Outcome:
		x.checkOutcome(r)
	case record.Intent:
		x.checkOrder(r.Call)
	}
}

func (x *oracle) checkOrder(c id.Call) {
	b := string(c.Program) + "/" + c.Branch
	if c.Seq != x.lastSeq[b]+1 {
		x.w.t.Fatalf("P1: call %s took effect after %d", c, x.lastSeq[b])
	}
	x.lastSeq[b] = c.Seq
}

func (x *oracle) checkOutcome(r record.Outcome) {
	b := string(r.Call.Program) + "/" + r.Call.Branch
	if r.Call.Seq == x.lastSeq[b]+1 {
		x.lastSeq[b]++ // idempotent calls have no intent
		return
	}
	if r.Call.Seq != x.lastSeq[b] {
		x.w.t.Fatalf("P1: outcome of %s after %d", r.Call, x.lastSeq[b])
	}
}

// checkHistory checks that a turn has the message of its key and branch, and the answer to it.
func (x *oracle) checkHistory(r record.Turn) {
	tag := fmt.Sprintf("%s/%s", r.Call.Program, r.Call.Branch)
	if len(r.New) != 1 || !bytes.Contains(r.New[0].Raw, []byte(`"`+r.Key+` `+tag+`"`)) {
		x.w.t.Fatalf("P2: turn %s with key %s records %s", r.Call, r.Key, r.New[0].Raw)
	}
	if !bytes.Contains(r.Answer.Raw, []byte("answer of "+tag+"/")) || !bytes.Contains(r.Answer.Raw, []byte("to "+r.Key)) {
		x.w.t.Fatalf("P2: turn %s with key %s records the answer %s", r.Call, r.Key, r.Answer.Raw)
	}
}

func (x *oracle) recordRun(k callKey) {
	if x.refused[k] && x.openRequests[k] == 0 {
		x.w.t.Fatalf("P6: %v was run after it was refused as not run", k)
	}
	x.w.runCounts[k]++
}

// onModelRun checks P2 on the prompt, P6, and P3 on all tokens that engines may have used.
func (x *oracle) onModelRun(d DispatchModel, r *endpointRun) {
	tag := d.CacheTag
	for i, m := range d.Messages {
		want := `"role":"user"`
		if i%2 == 1 {
			want = `answer of ` + tag + "/"
		}
		if !bytes.Contains(m.Raw, []byte(want)) || !bytes.Contains(m.Raw, []byte(tag)) {
			x.w.t.Fatalf("P2: attempt %s of %s got message %d: %s", d.Attempt, tag, i, m.Raw)
		}
	}
	x.recordRun(callKey{r.program, r.key})
	x.tokens[r.program] += r.prompt + r.tokens
	if l := x.limits[r.program].Tokens; l > 0 && x.tokens[r.program] > l {
		x.w.t.Fatalf("P3: program %s used %d tokens of %d", r.program, x.tokens[r.program], l)
	}
}

// onServiceRun checks P3, P6 and P7 when a service executes a call.
func (x *oracle) onServiceRun(d DispatchService, k callKey) {
	x.recordRun(k)
	if d.Idempotent {
		return
	}
	x.w.execCounts[k]++
	if n := x.w.execCounts[k]; n > 1 {
		x.w.t.Fatalf("P7: %s with key %s was executed %d times", d.Operation, k.key, n)
	}
	x.charge[k.program] += 10
	if l := x.limits[k.program].ChargeCents; l > 0 && x.charge[k.program] > l {
		x.w.t.Fatalf("P3: program %s was charged %d of %d", k.program, x.charge[k.program], l)
	}
	st := x.w.ref.Program(k.program)
	for _, b := range st.Branches {
		if b.Intent != nil && b.Intent.ID() == d.Attempt && x.w.ref.Slot(testSlot).Epoch == d.Epoch {
			return
		}
	}
	x.w.t.Fatalf("P7: attempt %s was executed without an open intent of the current epoch", d.Attempt)
}

func (x *oracle) answered(r *request, req ReqID) {
	if r == nil || r.done {
		x.w.t.Fatalf("P5: request %d was answered twice", req)
	}
	r.done = true
	x.openRequests[callKey{r.program, r.key}]--
}

func (x *oracle) reply(_ *owner, a Reply) {
	r := x.reqs[a.Req]
	x.answered(r, a.Req)
	r.problem = a.Problem
	r.status = a.Status
	r.reply = a.Body
	if a.Problem != nil {
		x.refusal(r, a.Problem)
		return
	}
	r.ok = true
	x.checkAnswer(r, a.Body)
}

func (x *oracle) data(a StreamData) {
	r := x.reqs[a.Req]
	if r == nil || r.done {
		x.w.t.Fatalf("P5: data for request %d after its end", a.Req)
	}
	if a.Offset != r.from+int64(len(r.got)) {
		x.w.t.Fatalf("P5: request %d got byte %d after %d", a.Req, a.Offset, r.from+int64(len(r.got)))
	}
	r.got = append(r.got, a.Data...)
	r.begun = true
}

func (x *oracle) end(_ *owner, a StreamEnd) {
	r := x.reqs[a.Req]
	x.answered(r, a.Req)
	r.problem = a.Problem
	if a.Problem != nil {
		x.refusal(r, a.Problem)
		return
	}
	r.ok = true
	if r.from == 0 && !bytes.HasSuffix(r.got, []byte("data: [DONE]\n\n")) {
		x.w.t.Fatalf("P5: request %d got a stream without its end: %q", a.Req, r.got)
	}
	if r.from == 0 {
		x.checkAnswer(r, r.got)
	}
}

// checkAnswer checks that an answer belongs to its request and is the same for each repeat of the key.
func (x *oracle) checkAnswer(r *request, body []byte) {
	k := callKey{r.program, r.key}
	switch r.kind {
	case "model":
		if !strings.Contains(string(body), "to "+r.key+`"`) {
			x.w.t.Fatalf("P5: key %s got %q", r.key, body)
		}
	case "service":
		if string(body) != fmt.Sprintf(`{"done":%q}`, r.body) {
			x.w.t.Fatalf("P5: key %s got %q", r.key, body)
		}
	default:
		return
	}
	if old, ok := x.acked[k]; ok && !bytes.Equal(old, body) {
		x.w.t.Fatalf("P5: key %s got %q after %q", r.key, body, old)
	}
	x.acked[k] = body
	x.refused[k] = false
}

func (x *oracle) refusal(r *request, p *Problem) {
	k := callKey{r.program, r.key}
	x.refused[k] = p.Executed == record.ExecutedNo
	if p.Executed == record.ExecutedNo && x.w.runCounts[k] > 0 {
		x.w.t.Fatalf("P6: key %s of %s was run and refused as not run: %s", r.key, r.program, p.Type)
	}
}

// checkDurable checks what must hold once the log has recovered: every acknowledged answer is recorded and
// every request is answered.
func (x *oracle) checkDurable() {
	for k, body := range x.acked {
		st := x.w.ref.Program(k.program)
		if st == nil {
			continue // its tombstone was removed
		}
		o := st.Outcomes[k.key]
		if o == nil || !bytes.Equal(o.Body, body) {
			x.w.t.Fatalf("P2: the acknowledged answer to %v is not recorded", k)
		}
	}
	for id, r := range x.reqs {
		if !r.done {
			x.w.t.Fatalf("P5: request %d (%s %s) was never answered", id, r.kind, r.key)
		}
	}
}

// checkReleased checks P4.
func (x *oracle) checkReleased() {
	for e, held := range x.w.cache {
		for p := range held {
			if x.ended[p] {
				x.w.t.Fatalf("P4: %s holds cache of %s, which ended", e, p)
			}
		}
	}
}
