package standin

// openFile is a file of a Disk that is open for writing.
type openFile struct {
	disk *Disk
	file *diskFile
}

// Write adds to the file's end; what a refusing disk took of it is a part.
//
// Example:
//
//	_, err := file.Write(batch)
func (o *openFile) Write(text []byte) (int, error) {
	if isRefused, _ := o.disk.refuses(); isRefused {
		part := o.disk.Random.IntN(len(text) + 1)
		o.file.written = append(o.file.written, text[:part]...)
		return part, errRefused
	}
	o.file.written = append(o.file.written, text...)
	return len(text), nil
}

// Sync makes last what was written.
//
// Example:
//
//	err := file.Sync()
func (o *openFile) Sync() error {
	isRefused, isInPart := o.disk.refuses()
	if isRefused && !isInPart {
		return errRefused
	}
	o.file.synced = append([]byte(nil), o.file.written...)
	if isRefused {
		return errRefused
	}
	return nil
}

// Close leaves the file as it is.
//
// Example:
//
//	_ = file.Close()
func (o *openFile) Close() error { return nil }

// Bytes is what a file holds, synced or not.
//
// Example:
//
//	text := disk.Bytes("segment-0000000000000001")
func (d *Disk) Bytes(name string) []byte { return append([]byte(nil), d.files[name].written...) }
