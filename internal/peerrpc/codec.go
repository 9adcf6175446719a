package peerrpc

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"strconv"
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
}

func newLimitedReader(conn net.Conn) *limitedReader {
	return &limitedReader{conn: conn, buffer: bufio.NewReader(conn)}
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
	r.remaining -= int64(n)
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *limitedReader) ReadByte() (byte, error) {
	if err := r.check(); err != nil {
		return 0, err
	}
	r.remaining--
	return r.buffer.ReadByte()
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

func newCodec(conn net.Conn, maxMessage int64) *codec {
	c := &codec{conn: conn, reader: newLimitedReader(conn), writer: bufio.NewWriter(conn), maxMessage: maxMessage}
	c.decoder, c.encoder = gob.NewDecoder(c.reader), gob.NewEncoder(c.writer)
	return c
}

func (c *codec) readHeader(header any) error {
	c.reader.begin(maxHeaderBytes)
	return c.decoder.Decode(header)
}

func (c *codec) readBody(body any) error {
	c.reader.begin(c.maxMessage)
	return c.decoder.Decode(body)
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

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *codec }

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(header *rpc.Request) error { return c.readHeader(header) }

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

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
