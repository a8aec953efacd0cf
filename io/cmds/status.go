package cmds

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"shallotgap/core/ident"
	"shallotgap/core/place"
	"shallotgap/io/admin"
)

// Status is the command that shows the state of all hosts and endpoints.
type Status struct {
	Remote
}

// systemStatus is the JSON output of the status command. Leader, Applied and Endpoints come from Latest, the status of the host
// with the highest applied index.
type systemStatus struct {
	Leader    ident.HostID               `json:"leader"`
	Applied   ident.Index                `json:"applied"`
	Hosts     []hostAnswer[admin.Status] `json:"hosts"`
	Endpoints []endpointLine             `json:"endpoints"`
	Waiting   []place.LoadRequest        `json:"loads-waiting"`
	Latest    admin.Status               `json:"-"`
}

// endpointLine is an endpoint with the figures of its latest report.
type endpointLine struct {
	ID       ident.EndpointID `json:"id"`
	Kind     string           `json:"kind"`
	Service  ident.Service    `json:"service"`
	Domain   ident.DomainID   `json:"domain"`
	Owner    ident.HostID     `json:"owner"`
	Fence    ident.Fence      `json:"fence"`
	Leaving  bool             `json:"leaving,omitempty"`
	Running  int              `json:"running"`
	Queued   int              `json:"queued"`
	Limit    int              `json:"max-running"`
	Slots    int              `json:"slots"`
	Resident []ident.Model    `json:"resident"`
	Loading  []ident.Model    `json:"loading"`
}

// Run prints the status.
func (c *Status) Run(env *Env) error {
	list, err := queryHosts[admin.Status](env.Context, c.Remote, "/admin/status")
	if err != nil {
		return err
	}
	all := mergeStatus(list)
	if c.JSON {
		if err := printJSON(env.Out, all); err != nil {
			return err
		}
		return unreachableError(list)
	}
	if err := all.print(env); err != nil {
		return err
	}
	return unreachableError(list)
}

// mergeStatus combines the answers of all hosts. Each host knows only the pending loads of the endpoints that it owns, so
// the pending loads are collected from all hosts.
func mergeStatus(list []hostAnswer[admin.Status]) systemStatus {
	all := systemStatus{Hosts: list, Endpoints: []endpointLine{}, Waiting: []place.LoadRequest{}}
	reports := map[ident.EndpointID]place.Report{}
	for _, a := range list {
		if a.Err != "" {
			continue
		}
		if a.Answer.Applied >= all.Latest.Applied {
			all.Latest = a.Answer
		}
		all.Waiting = append(all.Waiting, a.Answer.Wants...)
	}
	all.Leader, all.Applied = all.Latest.Leader, all.Latest.Applied
	for _, a := range list {
		addOwnedReports(reports, a, all.Latest)
	}
	for _, e := range all.Latest.Endpoints {
		r := reports[e.ID]
		all.Endpoints = append(all.Endpoints, endpointLine{
			ID: e.ID, Kind: string(e.Kind), Service: e.Service, Domain: e.Domain, Owner: e.Owner, Fence: e.Fence,
			Leaving: e.Leaving, Running: r.Running, Queued: r.Queued, Limit: e.MaxRunning, Slots: e.Slots,
			Resident: r.Resident, Loading: r.Loading,
		})
	}
	return all
}

// addOwnedReports adds the reports in answer a on the endpoints that the answering host owns, according to latest. All other
// hosts have only copies of these reports, which may be outdated.
func addOwnedReports(reports map[ident.EndpointID]place.Report, a hostAnswer[admin.Status], latest admin.Status) {
	owner := map[ident.EndpointID]ident.HostID{}
	for _, e := range latest.Endpoints {
		owner[e.ID] = e.Owner
	}
	for _, r := range a.Answer.Reports {
		if owner[r.Endpoint] == a.Host.Host {
			reports[r.Endpoint] = r
		}
	}
}

func (all systemStatus) print(env *Env) error {
	_, _ = fmt.Fprintf(env.Out, "leader %s, applied index %d\n\n", all.Leader, all.Applied)
	w := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "HOST\tDOMAIN\tROLE\tSERVING\tLEASE-LEFT\tAPPLIED\tQUEUED\tRUNNING")
	for _, a := range all.Hosts {
		printHost(w, a)
	}
	_, _ = fmt.Fprintln(w, "\nENDPOINT\tKIND\tSERVICE\tDOMAIN\tOWNER\tFENCE\tRUNNING\tQUEUED\tSLOTS\tRESIDENT\tLOADING")
	for _, e := range all.Endpoints {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d/%d\t%d\t%d/%d\t%s\t%s\n", e.ID, e.Kind, e.Service, e.Domain, e.Owner,
			e.Fence, e.Running, e.Limit, e.Queued, len(e.Resident), e.Slots, formatModels(e.Resident), formatModels(e.Loading))
	}
	_ = w.Flush()
	if len(all.Waiting) > 0 {
		_, _ = fmt.Fprintln(w, "\nLOAD WAITED FOR\tENDPOINT\tREQUESTS")
		for _, l := range all.Waiting {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\n", l.Model, l.Endpoint, l.Waiting)
		}
		_ = w.Flush()
	}
	if len(all.Latest.Stops) == 0 {
		return nil
	}
	_, _ = fmt.Fprintln(env.Out)
	return printStops(env, all.Latest.Stops)
}

func printHost(w io.Writer, a hostAnswer[admin.Status]) {
	if a.Err != "" {
		_, _ = fmt.Fprintf(w, "%s\t%s\tno answer\t\t\t\t\t\n", a.Host.Host, a.Domain)
		return
	}
	s := a.Answer
	serving := "yes"
	if !s.Serving {
		serving = "NO"
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1fs\t%d\t%d\t%d\n",
		a.Host.Host, a.Domain, s.Role, serving, float64(s.LeaseLeftMS)/1000, s.Applied, s.Queued, s.Running)
}

// shownModels is the maximum number of models listed in a line of the status.
const shownModels = 4

// formatModels lists up to shownModels models and counts the rest.
func formatModels(list []ident.Model) string {
	var names []string
	for _, m := range list[:min(len(list), shownModels)] {
		names = append(names, m.String())
	}
	if n := len(list) - shownModels; n > 0 {
		names = append(names, fmt.Sprintf("and %d more", n))
	}
	return strings.Join(names, " ")
}
