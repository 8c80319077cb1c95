// Package field has the named value that travels with a request or an answer. Package request and the codecs of protocols share it, so that
// neither needs the other and nothing is copied between them.
package field

// Field is one named attribute of a request or of an answer.
type Field struct{ Name, Value string }
