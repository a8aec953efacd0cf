package texts

// Messages of the operators' web page.
const (
	PageDone    = "Accepted at index %s."
	PageUnknown = "No majority answered in time: it is not known whether the change was accepted. Go back and send the form again: it is carried out once, however often it is sent."
	PageNumber  = "%s: %q is not a whole number in range"
	PageTarget  = "a stop is of a host or of an endpoint"
)
