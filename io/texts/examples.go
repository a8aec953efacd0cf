package texts

import "strings"

// About is the description of the program in its help.
const About = `Serves very many LoRA adapters over shared base models.

Exit codes: 0 done; 1 failed; 2 wrong arguments or settings; 3 conflict, the row was changed meanwhile; 4 no answer or no majority,
send again with the same --edit-id; 5 refused, nothing was changed; 6 accepted, but not seen in force everywhere in time;
7 some hosts gave no answer, the output is partial.`

// examples holds the examples in the help of each command.
var examples = map[string]string{
	"serve": "shallotgap serve /etc/shallotgap/e1.ini",
	"platform": `shallotgap platform
shallotgap platform --log-level debug --metrics 9464`,
	"check": "shallotgap check /etc/shallotgap/e1.ini",
	"table": `shallotgap table put dairy feed-advice@v1 --weight 2 --wait
shallotgap table export >rows.csv`,
	"table list": `shallotgap table list
shallotgap table list --json --entry http://10.0.0.4:7100`,
	"table get": "shallotgap table get dairy feed-advice",
	"table put": `shallotgap table put dairy feed-advice@v1 --weight 2 --wait
shallotgap table put dairy feed-advice@v2 --previous v1
shallotgap table put dairy feed-advice@v2 --from 17 --edit-id change-204`,
	"table delete": "shallotgap table delete dairy feed-advice",
	"table export": "shallotgap table export >rows.csv",
	"table import": `shallotgap table import rows.csv --wait
shallotgap table import rows.csv --edit-id import-2026-12-03`,
	"table diff": "shallotgap table diff rows.csv",
	"table history": `shallotgap table history
shallotgap table history dairy/feed-advice --json`,
	"stop mark": `shallotgap stop mark host e3
shallotgap stop mark endpoint g1 --at 2026-12-03T22:00:00Z
shallotgap stop mark domain a --at 2026-12-03T22:00:00Z --until 2026-12-04T04:00:00Z`,
	"stop withdraw": "shallotgap stop withdraw host e3",
	"stop list":     "shallotgap stop list",
	"limits":        "shallotgap limits --entry http://10.0.0.4:8144",
	"poison list":   "shallotgap poison list --entry http://10.0.0.4:8144",
	"poison lift":   "shallotgap poison lift 91bd3f06 --entry http://10.0.0.4:8144",
	"status": `shallotgap status
shallotgap status --json`,
	"explain": "shallotgap explain e1.18bd9de1ea6e4a3d.1\nshallotgap explain 4728ec5a02de2762 --logs entry.log --logs control.log",
	"replay": `shallotgap replay e1.trace
shallotgap replay e1.trace --explain e1.18bd9de1ea6e4a3d.1`,
	"report": `shallotgap report
shallotgap report --workspace dairy --json
shallotgap report --html >report.html`,
}

// ExampleArgs returns the arguments of all examples by command, without shell redirections, for tests that parse the examples.
func ExampleArgs() map[string][][]string {
	all := map[string][][]string{}
	for command, text := range examples {
		for _, line := range strings.Split(text, "\n") {
			line, _, _ = strings.Cut(line, " >")
			all[command] = append(all[command], strings.Fields(line)[1:])
		}
	}
	return all
}

// ExamplesOf returns the examples section in the help of a command, such as "table put"; empty if the command has none.
func ExamplesOf(command string) string {
	text, ok := examples[command]
	if !ok {
		return ""
	}
	return "\nExamples:\n" + indent(text)
}
