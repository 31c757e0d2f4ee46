package bandwidth

import "io"

// BulkLeast is from which length on a reply is bulk.
const MinBulkBytes = 12 << 10

// afterMost is how much more than a window may follow on its heels: so little is
// worth no wait.
const maxBurstExcess = 8 << 10

// reader reads bulk. A sender puts a whole window on its way before anything is
// read; reading at once would let the next window follow on its heels, and what
// is short would wait behind both.
type reader struct {
	source io.Reader
	pacer  *Pacer
	// burst is what the sender may have on its way before the first read.
	burst int
	// coming is what it may only send once there is room in its window.
	remaining int64
	started   bool
}

// Reader reads a reply of the given length (-1 if unknown) at the track's
// pace, from a sender that may have a window on its way.
//
// Example:
//
//	body, err := io.ReadAll(in.Reader(response.Body, response.ContentLength, 64<<10))
func (p *Pacer) Reader(source io.Reader, length int64, window int) io.Reader {
	switch {
	case p == nil || p.perByte == 0 || length < 0:
		return source
	case length < MinBulkBytes:
		p.CountShort(int(length))
		return source
	}
	burst := min(length, int64(window))
	if length-burst <= maxBurstExcess {
		burst = length
	}
	return &reader{source: source, pacer: p, burst: int(burst), remaining: length - burst}
}

func (r *reader) Read(buffer []byte) (count int, err error) {
	if !r.started {
		if r.started = true; r.remaining > 0 {
			r.pacer.WaitBurst(r.burst)
		} else {
			// All of it is on its way, whether it is read now or later.
			r.pacer.reserve(float64(r.burst))
		}
	}
	if r.remaining > 0 {
		// What is read makes room for as much again.
		buffer = buffer[:min(len(buffer), ChunkBytes, int(r.remaining))]
		r.pacer.WaitBulk(len(buffer))
		r.remaining -= int64(len(buffer))
	}
	return r.source.Read(buffer)
}

type writer struct {
	destination io.Writer
	pacer       *Pacer
	// isBulk: whatever is written is part of something long.
	bulk bool
}

// Writer writes a reply at the track's pace.
//
// Example:
//
//	_, err := out.Writer(w).Write(reply.Body)
func (p *Pacer) Writer(destination io.Writer) io.Writer {
	if p == nil || p.perByte == 0 {
		return destination
	}
	return &writer{destination, p, false}
}

// BulkWriter writes at the track's pace what comes piece by piece of a long reply.
//
// Example:
//
//	_, err := io.Copy(out.BulkWriter(w), reply.Rest)
func (p *Pacer) BulkWriter(destination io.Writer) io.Writer {
	if p == nil || p.perByte == 0 {
		return destination
	}
	return &writer{destination, p, true}
}

func (w *writer) Write(data []byte) (written int, err error) {
	if !w.bulk && len(data) < MinBulkBytes {
		w.pacer.CountShort(len(data))
		return w.destination.Write(data)
	}
	for written < len(data) && err == nil {
		chunk := data[written:min(len(data), written+ChunkBytes)]
		w.pacer.WaitBulk(len(chunk))
		var count int
		count, err = w.destination.Write(chunk)
		written += count
	}
	return written, err
}
