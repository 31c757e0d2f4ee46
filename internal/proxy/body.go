package proxy

import (
	"context"
	"io"
	"math"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/bounded"
)

const (
	// bodyMemoryDivisor divides the machine's memory to give what request bodies may occupy together. Bodies that
	// have ended stay in memory until the next garbage collection, and answers need room too.
	bodyMemoryDivisor = 4
	// smallBodyBytes is the size up to which a body needs no share of the memory.
	smallBodyBytes = 64 << 10
	// collectBodyBytes is the size from which memory is collected before a body is read: bodies that have ended
	// would otherwise be in memory beside the new one.
	collectBodyBytes = 8 << 20
	// maxBodyWait is how long a request waits for memory at most, bodyWaitDivisor the fraction of its time that
	// it waits: a client that is rejected early has time to try another node.
	maxBodyWait     = 500 * time.Millisecond
	bodyWaitDivisor = 4
)

// bodyMemory limits the memory that request bodies occupy together.
type bodyMemory struct {
	available *semaphore.Weighted
	limit     int64
}

// newBodyMemory returns the limit for a machine with the given memory; 0 is unknown and sets no limit.
func newBodyMemory(memoryMB bounded.Count) *bodyMemory {
	limit := int64(memoryMB) << 20 / bodyMemoryDivisor
	if memoryMB <= 0 {
		limit = math.MaxInt64
	}
	return &bodyMemory{available: semaphore.NewWeighted(limit), limit: limit}
}

// heldBody is the share of the memory that one request holds for its body. The request and each of its
// attempts that are in flight need it; the last one to end returns it.
type heldBody struct {
	memory  *bodyMemory
	bytes   int64
	holders atomic.Int32
}

// hold returns a share of nothing, held by the request itself.
func (m *bodyMemory) hold() *heldBody {
	held := &heldBody{memory: m}
	held.holders.Store(1)
	return held
}

// grow extends the share to the size, and waits for it until ctx ends. A body larger than the limit has all
// of the memory for itself.
func (h *heldBody) grow(ctx context.Context, size int64) error {
	size = min(size, h.memory.limit)
	if size <= smallBodyBytes || size <= h.bytes {
		return nil
	}
	if err := h.memory.available.Acquire(ctx, size-h.bytes); err != nil {
		return apierror.New(apierror.ServersBusy, "not enough memory for the request body")
	}
	h.bytes = size
	return nil
}

// retain adds a holder. A nil share needs none.
func (h *heldBody) retain() {
	if h != nil {
		h.holders.Add(1)
	}
}

// release removes a holder.
func (h *heldBody) release() {
	if h != nil && h.holders.Add(-1) == 0 && h.bytes > 0 {
		h.memory.available.Release(h.bytes)
	}
}

// readBody reads the whole body of the request, once there is memory for it.
func (p *proxy) readBody(w http.ResponseWriter, r *http.Request, req *clientRequest) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := int64(max(req.snapshot.routingTable.Limits.MaxBodyBytes, 1))
	if r.ContentLength > limit {
		return nil, apierror.New(apierror.BodyTooLarge, "")
	}
	_ = http.NewResponseController(w).SetReadDeadline(req.deadline)
	wait := min(maxBodyWait, time.Until(req.deadline)/bodyWaitDivisor)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	req.heldBody = p.bodyMemory.hold()
	var body []byte
	var err error
	if r.ContentLength > 0 {
		body, err = readSized(ctx, r.Body, r.ContentLength, req.heldBody)
	} else {
		body, err = readUnsized(ctx, http.MaxBytesReader(w, r.Body, limit), limit, req.heldBody)
	}
	if err != nil {
		req.heldBody.release()
		return nil, bodyError(err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// bodyError returns the error for a body that could not be read.
func bodyError(err error) error {
	var known *apierror.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &known):
		return err
	case errors.As(err, &tooLarge):
		return apierror.New(apierror.BodyTooLarge, "")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return apierror.New(apierror.RequestTimeout, "")
	}
	return apierror.New(apierror.MalformedRequest, "cannot read the request body")
}

// readSized reads a body of a known length into a buffer of its size.
func readSized(ctx context.Context, source io.Reader, size int64, held *heldBody) ([]byte, error) {
	if err := held.grow(ctx, size); err != nil {
		return nil, err
	}
	if size >= collectBodyBytes {
		runtime.GC()
	}
	body := make([]byte, size)
	_, err := io.ReadFull(source, body)
	return body, err
}

// readUnsized reads a body of unknown length into a buffer that doubles when it is full.
func readUnsized(ctx context.Context, source io.Reader, limit int64, held *heldBody) ([]byte, error) {
	body := make([]byte, 0, min(limit+1, smallBodyBytes/2))
	for {
		count, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		larger := min(2*int64(cap(body)), limit+1)
		// Both buffers are in memory while the body is copied.
		if err := held.grow(ctx, larger+int64(len(body))); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, larger), body...)
	}
}
