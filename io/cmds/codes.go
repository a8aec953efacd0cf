package cmds

import "errors"

// Code is an exit code of the command line.
type Code int

// The exit codes.
const (
	OK          Code = 0
	Failed      Code = 1 // the command failed
	Usage       Code = 2 // wrong arguments or settings
	Conflict    Code = 3 // the row was changed meanwhile
	NoAnswer    Code = 4 // no majority or no answer: the result is unknown; resend with the same edit id
	Refused     Code = 5 // the system refused the change; it did not happen
	NotInForce  Code = 6 // accepted, but not seen in force on every host in time
	Unreachable Code = 7 // some hosts could not be asked; the output is partial
)

// CodedError is an error with its exit code.
type CodedError struct {
	Code Code
	Err  error
}

// Error returns the cause's text.
func (e *CodedError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CodedError) Unwrap() error { return e.Err }

func withCode(c Code, err error) error { return &CodedError{Code: c, Err: err} }

// exitCode returns the exit code for what a command returned.
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
