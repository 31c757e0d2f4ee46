// Package codec encodes what the processes of ploverhitch send to each other and store,
// as CBOR.
//
// Keys, header values and other texts come from HTTP, which lets bytes through that are not
// UTF-8. They travel unchanged: a text string carries its bytes as they are, and a decoder of
// this package does not demand that they are UTF-8.
package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes a value.
func Marshal(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	return data, errors.Trace(err)
}

// Unmarshal decodes data, which must hold exactly one value, into out.
func Unmarshal(data []byte, out any) error { return errors.Trace(decoding.Unmarshal(data, out)) }
