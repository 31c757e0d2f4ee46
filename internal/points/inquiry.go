package points

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/balancer"
	"ploverhitch/internal/config"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/loopline"
	"ploverhitch/internal/upstream"
)

// inquiry is one client's inquiry on its way through the proxy.
type inquiry struct {
	*upstream.Request
	lane    *config.Route
	service string
	sight   *sight
	arrived time.Time
	// due is when the client, or the lane, stops waiting.
	due     time.Time
	key     idempotency.Key
	maySend func() bool
	// place is where the ring of the service puts a keyed operation or a
	// download.
	place    balancer.Place
	isPlaced bool
	// isTrial: it may go to the version on trial.
	isTrial bool
	// leave ends a download's part of the link.
	leave func()
	// isReplayed: the record answered it.
	isReplayed bool
	// stage is there where a staged change touches the inquiry.
	stage *stageMark
	// client is where it came from; took is how long its reply took.
	client string
	took   time.Duration
}

// takePlace places keyed operations by their key and downloads by their path;
// the short repeatable inquiries go wherever is best at the moment.
func (i *inquiry) takePlace() {
	switch i.lane.RouteType {
	case config.Idempotent:
		i.place, i.isPlaced = balancer.PlaceOf(i.lane.Host, i.Header.Get(upstream.HeaderOperationKey)), true
	case config.Download:
		i.place, i.isPlaced = balancer.PlaceOf(i.lane.Host, i.Target), true
	}
}

func newLife() string {
	var text [6]byte
	_, _ = rand.Read(text[:])
	return hex.EncodeToString(text[:])
}

// handle is the path of every client's inquiry.
func (p *proxy) handle(w http.ResponseWriter, r *http.Request) {
	p.active.Add(1)
	defer p.active.Add(-1)
	if p.isLeaving.Load() || len(r.TransferEncoding) > 0 {
		// After a body in chunks nothing more is read from the connection:
		// whatever hides behind it is never taken for an inquiry.
		w.Header().Set("Connection", "close")
	}
	one, err := p.read(w, r)
	if err != nil {
		p.refuse(w, r, err)
		return
	}
	one.leave = func() {}
	reply, err := p.serve(r.Context(), one)
	one.took = time.Since(one.arrived)
	defer func() { one.leave() }()
	if err != nil {
		p.settleStage(one, nil, err, false)
		p.refuse(w, r, err)
		p.mirror(one, nil, mayHaveRun(err))
		return
	}
	out := reply.(*upstream.Response)
	isBroken, err := p.answer(w, out)
	p.settleStage(one, out, nil, isBroken)
	if isBroken {
		out = nil
	}
	p.mirror(one, out, isBroken)
	if err != nil {
		// One that breaks off after its start must not look complete, so the
		// client's connection is broken too.
		panic(http.ErrAbortHandler)
	}
}

// read checks the inquiry and reads it whole.
func (p *proxy) read(w http.ResponseWriter, r *http.Request) (*inquiry, error) {
	one := &inquiry{arrived: time.Now(), sight: p.sight.Load(), client: clientOf(r)}
	limits := one.sight.sheet.Limits
	path, _, _ := strings.Cut(r.RequestURI, "?")
	attempt := r.Header.Values(upstream.HeaderAttempt)
	switch {
	case !strings.HasPrefix(path, "/"):
		return nil, apierror.New(apierror.BadInquiry, "the target is not a path")
	case len(attempt) != 1 || attempt[0] == "":
		return nil, apierror.New(apierror.BadInquiry, "one attempt id is needed")
	case limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes:
		return nil, apierror.New(apierror.HeaderTooLarge, "")
	case len(r.Header.Values(loopline.Marker)) > 0:
		return nil, apierror.New(apierror.Shadowed, "")
	case !one.sight.isWhole:
		return nil, apierror.New(apierror.NoServer, "the manifest is not here yet")
	}
	one.sight.findLane(one, r.Host, path, r.Header.Get(upstream.HeaderOperationKey) != "", p.clock.Steady())
	if one.lane == nil {
		return nil, apierror.New(apierror.NoLane, "")
	}
	one.due = one.arrived.Add(one.lane.Timeout.Std())
	if text := r.Header.Get(upstream.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return nil, apierror.New(apierror.BadInquiry, "the deadline is not a number")
		}
		if due := one.arrived.Add(time.Duration(min(ms, 1<<32)) * time.Millisecond); due.Before(one.due) {
			one.due = due
		}
	}
	_ = http.NewResponseController(w).SetReadDeadline(one.due)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, max(limits.MaxBodyBytes, 1)))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, apierror.New(apierror.TooLarge, "")
		}
		return nil, apierror.New(apierror.BadInquiry, "the body cannot be read")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	one.Request = &upstream.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		HasBody: r.ContentLength > 0 || len(r.TransferEncoding) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead,
		Attempt: attempt[0],
	}
	return one, nil
}

func headerBytes(r *http.Request) (size int) {
	size = len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}

// refuse answers by the table of kinds.
func (p *proxy) refuse(w http.ResponseWriter, r *http.Request, err error) {
	kind := apierror.Broken
	var known *apierror.Error
	if errors.As(err, &known) {
		kind = known.Kind
	}
	answer := apierror.AnswerOf(kind)
	if known != nil && known.After > 0 {
		answer.RetryAfter = known.After
	}
	header := w.Header()
	if id := r.Header.Get(upstream.HeaderAttempt); id != "" {
		header.Set(upstream.HeaderAttempt, id)
	}
	if answer.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', -1, 64))
	}
	if answer.Close {
		header.Set("Connection", "close")
	}
	header["Date"] = nil
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(answer.Reason)+1))
	w.WriteHeader(answer.Status)
	_, _ = io.WriteString(w, answer.Reason+"\n")
}

// mayHaveRun tells whether an inquiry that ended without a reply may have run.
func mayHaveRun(err error) bool {
	var known *apierror.Error
	return errors.Is(err, errLeft) || errors.As(err, &known) && (known.Kind == apierror.Broken || known.Kind == apierror.Late)
}

// answer passes a server's reply on. isBroken tells that the server broke off.
func (p *proxy) answer(w http.ResponseWriter, reply *upstream.Response) (isBroken bool, err error) {
	upstream.CopyResponseHeader(w.Header(), reply.Header)
	if reply.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	w.WriteHeader(reply.Status)
	to := p.out.Writer(w)
	_, err = to.Write(reply.Body)
	if reply.Remainder == nil {
		return false, nil
	}
	from := &watched{Reader: reply.Remainder}
	if err == nil {
		_, err = io.Copy(p.out.BulkWriter(w), from)
	}
	reply.Finish(err == nil)
	return from.err != nil, err
}

// watched keeps the error of what it reads from, other than its end.
type watched struct {
	io.Reader
	err error
}

func (w *watched) Read(into []byte) (count int, err error) {
	if count, err = w.Reader.Read(into); err != nil && err != io.EOF {
		w.err = err
	}
	return count, err
}
