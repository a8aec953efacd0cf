package texts

// Messages of the operators' web page.
const (
	PageAccepted       = "Accepted at index %s."
	PageOutcomeUnknown = "No majority answered in time: it is not known whether the change was accepted. Go back and send the same form again: the change takes effect only once."
	PageBadNumber      = "%s: %q is not a whole number in range"
	CrossOrigin        = "refused: the request comes from a page of another site (cross-origin request)"
	PageBadTarget      = "the target of a stop must be host, endpoint, endpoint-host or domain"
	PageBadTime        = "%s: %q is not a time such as 2026-12-03T22:00 (UTC)"
)
