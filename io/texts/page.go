package texts

// Messages of the operators' web page.
const (
	PageAccepted       = "Accepted at index %s."
	PageOutcomeUnknown = "No majority answered in time: it is not known whether the change was accepted. Go back and send the form again: it is carried out once, however often it is sent."
	PageBadNumber      = "%s: %q is not a whole number in range"
	CrossOrigin        = "refused: the page of another site sent this (cross-origin request)"
	PageBadTarget      = "a stop is of a host, an endpoint, an endpoint-host or a domain"
	PageBadTime        = "%s: %q is not a time such as 2026-12-03T22:00 (UTC)"
)
