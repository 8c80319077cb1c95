package main

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

// client is one connection of the application. It sends one request at a time.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// headOf returns the head of a request of the class, with a body of that many bytes.
func headOf(c class, id string, length int) []byte {
	method := "GET"
	if c.repeat != "pure" {
		method = "POST"
	}
	out := fmt.Appendf(nil, "%s /%s/%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Owner: lib-one\r\nReq-Deadline: %.3f\r\n",
		method, c.name, id, id, c.limit.Seconds())
	if length > 0 {
		out = fmt.Appendf(out, "Content-Length: %d\r\n", length)
	}
	return append(out, "\r\n"...)
}

// requestOf returns a small request of the class.
func requestOf(c class, id string) []byte {
	body := ""
	if c.repeat != "pure" {
		body = "print scan for " + id
	}
	return append(headOf(c, id, len(body)), body...)
}

// connect opens the connection if it is not open.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReaderSize(conn, 64<<10)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// do sends the request and returns the answer. After an error the connection is closed.
func (c *client) do(raw []byte, wait time.Duration) (*message, error) {
	if err := c.connect(); err != nil {
		return nil, err
	}
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	if _, err := c.conn.Write(raw); err != nil {
		c.close()
		return nil, err
	}
	m, err := readMessage(c.reader, nil)
	if err != nil || m.header["connection"] == "close" {
		c.close()
	}
	return m, err
}

func newReader(conn net.Conn) *bufio.Reader { return bufio.NewReaderSize(conn, 64<<10) }
