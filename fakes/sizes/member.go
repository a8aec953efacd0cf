package sizes

import "shallotgap/core/quorum"

func voter() quorum.Member { return quorum.Member{Host: HostName(0), Disk: "disk", Voter: true} }
