package bandwidth

import "io"

// MinBulkBytes is the length from which a response is bulk traffic.
const MinBulkBytes = 12 << 10

// maxBurstExcess is how many bytes beyond the first window are treated as part of it:
// so few are not worth a wait.
const maxBurstExcess = 8 << 10

// reader reads a bulk response. A sender transmits a whole window before anything is
// read. Reading immediately would let the next window follow directly, and short
// traffic would wait behind both.
type reader struct {
	source io.Reader
	pacer  *Pacer
	// burst is the number of bytes that may be in flight before the first read.
	burst int
	// remaining is the number of bytes that the sender can transmit only once there is
	// room in its window.
	remaining int64
	started   bool
}

// Reader returns a reader that paces a response of the given length (-1 if unknown)
// from a sender that may have a whole window in flight.
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
			// All bytes are in flight, whether they are read now or later.
			r.pacer.reserve(float64(r.burst))
		}
	}
	if r.remaining > 0 {
		// Each byte read lets the sender transmit another one.
		buffer = buffer[:min(len(buffer), ChunkBytes, int(r.remaining))]
		r.pacer.WaitBulk(len(buffer))
		r.remaining -= int64(len(buffer))
	}
	return r.source.Read(buffer)
}

type writer struct {
	destination io.Writer
	pacer       *Pacer
	// bulk makes all writes count as bulk traffic, however short they are.
	bulk bool
}

// Writer returns a writer that paces responses of at least MinBulkBytes, each written
// with a single call of Write.
func (p *Pacer) Writer(destination io.Writer) io.Writer {
	if p == nil || p.perByte == 0 {
		return destination
	}
	return &writer{destination, p, false}
}

// BulkWriter returns a writer that paces a bulk response written in parts.
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
