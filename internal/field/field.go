// Package field defines the named attribute of requests and responses. Package request and the protocol codecs share the
// type, so that they don't depend on each other and need no conversion.
package field

// Field is a named attribute of a request or of a response, such as a header line.
type Field struct{ Name, Value string }
