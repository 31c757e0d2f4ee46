package bare

type Bare struct{}

func (Bare) Method() {}

// Documented has a comment.
func Documented() {}
