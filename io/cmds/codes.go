package cmds

import "errors"

// Code is an exit code of the command line.
type Code int

// The exit codes.
const (
	OK          Code = 0
	Failed      Code = 1 // the command failed
	Usage       Code = 2 // wrong arguments or settings
	Conflict    Code = 3 // the edit conflicts with another edit of the row
	NoAnswer    Code = 4 // no host or no majority answered: the outcome is unknown; resend with the same edit id
	Refused     Code = 5 // the change was rejected and has no effect
	NotInForce  Code = 6 // the change was accepted, but some hosts had not applied it before --wait-limit
	Unreachable Code = 7 // some hosts did not answer; the output is partial
)

// CodedError is an error with its exit code.
type CodedError struct {
	Code Code
	Err  error
}

// Error returns the message of the wrapped error.
func (e *CodedError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *CodedError) Unwrap() error { return e.Err }

// withCode returns err with the exit code c.
func withCode(c Code, err error) error { return &CodedError{Code: c, Err: err} }

// exitCode returns the exit code for a command's error, which may be nil.
func exitCode(err error) Code {
	if err == nil {
		return OK
	}
	var e *CodedError
	if errors.As(err, &e) {
		return e.Code
	}
	return Failed
}
