package texts

// Messages of the command line; the verbs are those of package fmt.
const (
	Accepted        = "accepted at index %d (edit id %s)\n"
	Deleted         = "deleted at index %d (edit id %s)\n"
	Unknown         = "edit %s: it is not known whether the change was accepted (%w)\nsend it again with --edit-id %s: it is carried out once, however often it is sent"
	NoResult        = "edit %s: the host gave no result"
	InvalidEdit     = "edit %s: refused, nothing was changed: %s"
	ConflictHead    = "conflict: row %s was changed meanwhile; nothing was changed\n\n"
	ConflictTail    = "\nlook at the row in force, then send the change again (without --edit-id)\n"
	ConflictErr     = "edit %s: conflict on row %s"
	NoRow           = "row %s does not exist"
	Spreading       = "in force on %d of %d hosts\n"
	NotInForce      = "index %d was not seen in force on %v within %s; a host that does not follow loses its lease and serves no request"
	HostsSilent     = "no answer from %v; what is shown lacks their part"
	Imported        = "%d accepted, %d unchanged, %d in conflict, %d refused\n"
	ImportID        = "edit ids are %s-LINE; to send this import again, give --edit-id %s\n"
	ImportAgain     = "some lines may have been accepted; send the whole import again with --edit-id %s"
	ImportBad       = "%d of %d changed lines were not accepted"
	SameTable       = "no difference\n"
	StopMarked      = "stop of %s planned at index %d\n"
	StopGone        = "stop of %s withdrawn at index %d\n"
	StopRefused     = "stop of %s: refused: %s"
	NoNotes         = "no host remembers request %s (each host keeps its latest 50,000 decisions)\n"
	NothingMeasured = "no request was measured yet\n"
	SettingsOK      = "%s: ok\n"
)
