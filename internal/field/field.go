// Package field has the named value that travels with a request or an answer. The words between fronts and the core and the
// codecs of protocols share it, so that neither needs the other and nothing is copied between them.
package field

// Field is one named attribute of a request or of an answer.
type Field struct{ Name, Value string }
