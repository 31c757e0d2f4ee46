package bandwidth

import "io"

// BulkLeast is from which length on a reply is bulk.
const BulkLeast = 12 << 10

// afterMost is how much more than a window may follow on its heels: so little is
// worth no wait.
const afterMost = 8 << 10

// reader reads bulk. A sender puts a whole window on its way before anything is
// read; reading at once would let the next window follow on its heels, and what
// is short would wait behind both.
type reader struct {
	from  io.Reader
	track *Track
	// burst is what the sender may have on its way before the first read.
	burst int
	// coming is what it may only send once there is room in its window.
	coming  int64
	isBegun bool
}

// Reader reads a reply of the given length (-1 if unknown) at the track's
// pace, from a sender that may have a window on its way.
//
// Example:
//
//	body, err := io.ReadAll(in.Reader(response.Body, response.ContentLength, 64<<10))
func (t *Track) Reader(from io.Reader, length int64, window int) io.Reader {
	switch {
	case t == nil || t.perByte == 0 || length < 0:
		return from
	case length < BulkLeast:
		t.Note(int(length))
		return from
	}
	burst := min(length, int64(window))
	if length-burst <= afterMost {
		burst = length
	}
	return &reader{from: from, track: t, burst: int(burst), coming: length - burst}
}

func (r *reader) Read(into []byte) (count int, err error) {
	if !r.isBegun {
		if r.isBegun = true; r.coming > 0 {
			r.track.Burst(r.burst)
		} else {
			// All of it is on its way, whether it is read now or later.
			r.track.take(float64(r.burst))
		}
	}
	if r.coming > 0 {
		// What is read makes room for as much again.
		into = into[:min(len(into), Piece, int(r.coming))]
		r.track.Pass(len(into))
		r.coming -= int64(len(into))
	}
	return r.from.Read(into)
}

type writer struct {
	to    io.Writer
	track *Track
	// isBulk: whatever is written is part of something long.
	isBulk bool
}

// Writer writes a reply at the track's pace.
//
// Example:
//
//	_, err := out.Writer(w).Write(reply.Body)
func (t *Track) Writer(to io.Writer) io.Writer {
	if t == nil || t.perByte == 0 {
		return to
	}
	return &writer{to, t, false}
}

// BulkWriter writes at the track's pace what comes piece by piece of a long reply.
//
// Example:
//
//	_, err := io.Copy(out.BulkWriter(w), reply.Rest)
func (t *Track) BulkWriter(to io.Writer) io.Writer {
	if t == nil || t.perByte == 0 {
		return to
	}
	return &writer{to, t, true}
}

func (w *writer) Write(text []byte) (written int, err error) {
	if !w.isBulk && len(text) < BulkLeast {
		w.track.Note(len(text))
		return w.to.Write(text)
	}
	for written < len(text) && err == nil {
		piece := text[written:min(len(text), written+Piece)]
		w.track.Pass(len(piece))
		var count int
		count, err = w.to.Write(piece)
		written += count
	}
	return written, err
}
