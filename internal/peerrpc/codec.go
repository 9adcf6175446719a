package peerrpc

import (
	"bufio"
	"context"
	"encoding/gob"
	"io"
	"math"
	"net"
	"net/rpc"
	"strconv"

	"filbertusher/internal/intake"
)

// The codecs encode messages as those of net/rpc do, and bound how much of a message is
// read. gob itself reads messages of up to 1 GB, and type definitions without end.

const (
	// LargeMessages bounds messages that carry the bodies of requests and responses.
	LargeMessages = 257 << 20
	// SmallMessages bounds messages of gateways, the largest of which is a configuration.
	SmallMessages = 16 << 20
	// maxHeaderBytes bounds the header of a message, with the definition of its type.
	maxHeaderBytes = 64 << 10
	// unchargedBytes is the length up to which messages are not charged to the memory of a
	// server, as most are shorter.
	unchargedBytes = 4 << 10
	// decodedFactor is what a message takes while it is decoded, in its lengths.
	decodedFactor = 2
)

// MessageTooLongError is the cause of an error about a connection that was closed because a
// peer sent a message that is too long.
type MessageTooLongError struct{ Limit int64 }

// Error implements error.
func (e *MessageTooLongError) Error() string {
	return "a message is longer than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// limitedReader reads a connection, which it closes once the limit of a message is exceeded.
// It implements io.ByteReader, so that gob reads from it without a buffer of its own.
type limitedReader struct {
	conn      io.Closer
	buffer    *bufio.Reader
	limit     int64
	remaining int64
	exceeded  bool
	// holding is charged for the message that is read. It may be nil.
	holding *intake.Holding
	frame   frame
}

func newLimitedReader(conn net.Conn, holding *intake.Holding) *limitedReader {
	return &limitedReader{conn: conn, buffer: bufio.NewReader(conn), holding: holding}
}

// frame follows the messages of gob in a stream: each begins with its length, which is one
// byte up to maxShortLength, and otherwise the negated number of bytes that hold it.
type frame struct {
	// length is that of the message, as far as it was read, and lengthBytes how many bytes
	// of it are to come. payload is how much of the message is to come.
	length      uint64
	lengthBytes int
	payload     int64
}

const (
	maxShortLength = 0x7f
	bitsPerByte    = 8
)

// read follows bytes of the stream, of which none is beyond the end of a message or of its
// length. It returns the length of a message that begins after them, or 0.
func (f *frame) read(data []byte) int64 {
	if f.payload > 0 {
		f.payload -= int64(len(data))
		return 0
	}
	for _, b := range data {
		switch {
		case f.lengthBytes > 0:
			f.length = f.length<<bitsPerByte | uint64(b)
			f.lengthBytes--
		case b > maxShortLength:
			f.length, f.lengthBytes = 0, -int(int8(b))
		default:
			f.length = uint64(b)
		}
	}
	if f.lengthBytes > 0 {
		return 0
	}
	f.payload = int64(min(f.length, math.MaxInt64))
	return f.payload
}

// announce takes memory for a message before gob allocates it.
func (r *limitedReader) announce(length int64) error {
	if length > r.remaining {
		r.remaining = 0
		return r.check()
	}
	if length <= unchargedBytes {
		return nil
	}
	r.holding.Begin()
	err := r.holding.Grow(context.Background(), decodedFactor*length)
	if err != nil {
		metrics.Add("noMemory", 1)
		r.exceeded = true
		_ = r.conn.Close()
	}
	return err
}

// follow notes that bytes were read.
func (r *limitedReader) follow(data []byte) error {
	r.remaining -= int64(len(data))
	r.holding.Progress(len(data))
	if length := r.frame.read(data); length > 0 {
		return r.announce(length)
	}
	return nil
}

// begin starts a part of a message of at most limit bytes.
func (r *limitedReader) begin(limit int64) { r.limit, r.remaining = limit, limit }

// check returns an error once the limit is exceeded. There is no way to find the next message
// then, so it does so for good.
func (r *limitedReader) check() error {
	if r.remaining <= 0 && !r.exceeded {
		r.exceeded = true
		metrics.Add("tooLong", 1)
		// The read that follows has failed already.
		_ = r.conn.Close()
	}
	if r.exceeded {
		return &MessageTooLongError{Limit: r.limit}
	}
	return nil
}

// Read implements io.Reader.
func (r *limitedReader) Read(into []byte) (int, error) {
	if err := r.check(); err != nil {
		return 0, err
	}
	n, err := r.buffer.Read(into[:min(int64(len(into)), r.remaining)])
	if n > 0 {
		if followErr := r.follow(into[:n]); followErr != nil {
			return 0, followErr
		}
	}
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *limitedReader) ReadByte() (byte, error) {
	if err := r.check(); err != nil {
		return 0, err
	}
	b, err := r.buffer.ReadByte()
	if err == nil {
		err = r.follow([]byte{b})
	}
	return b, err
}

// codec is the part that client and server have in common. Its methods that read are called
// by one goroutine, and those that write by one at a time.
type codec struct {
	conn       net.Conn
	reader     *limitedReader
	decoder    *gob.Decoder
	encoder    *gob.Encoder
	writer     *bufio.Writer
	maxMessage int64
}

func newCodec(conn net.Conn, maxMessage int64, holding *intake.Holding) *codec {
	c := &codec{conn: conn, reader: newLimitedReader(conn, holding), writer: bufio.NewWriter(conn), maxMessage: maxMessage}
	c.decoder, c.encoder = gob.NewDecoder(c.reader), gob.NewEncoder(c.writer)
	return c
}

func (c *codec) readHeader(header any) error {
	return c.decode(header, maxHeaderBytes)
}

func (c *codec) readBody(body any) error {
	return c.decode(body, c.maxMessage)
}

// decode reads a part of a message of at most limit bytes.
func (c *codec) decode(into any, limit int64) error {
	defer c.reader.holding.EndRequest()
	c.reader.begin(limit)
	return c.decoder.Decode(into)
}

// write writes a message. After an error, the connection holds part of one and is closed.
func (c *codec) write(header, body any) error {
	err := c.encoder.Encode(header)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec and rpc.ClientCodec.
func (c *codec) Close() error { return c.conn.Close() }

// serverCodec implements rpc.ServerCodec. used is called after each request that was read.
type serverCodec struct {
	*codec
	used func()
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(header *rpc.Request) error { return c.readHeader(header) }

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error {
	err := c.readBody(body)
	if err == nil && body != nil {
		c.used()
	}
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(header *rpc.Response, body any) error {
	return c.write(header, body)
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *codec }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(header *rpc.Request, body any) error { return c.write(header, body) }

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(header *rpc.Response) error { return c.readHeader(header) }

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }
