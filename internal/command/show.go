package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"ragwortstile/internal/server"
)

// table writes aligned columns. Spaces separate the column names in header; an empty cell is printed as "-".
func table(out io.Writer, header string, rows func(row func(cells ...any))) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	rows(func(cells ...any) {
		texts := make([]string, len(cells))
		for n, c := range cells {
			if texts[n] = fmt.Sprint(c); texts[n] == "" {
				texts[n] = "-"
			}
		}
		fmt.Fprintln(w, strings.Join(texts, "\t"))
	})
	return w.Flush()
}

func printStatus(out io.Writer, s server.FleetStatus) error {
	fmt.Fprintf(out, "manifest declared: version %d\n\n", s.DeclaredVersion)
	err := table(out, "SESSION ZONE STATE LOG MANIFEST SLOTS PROGRAMS", func(row func(...any)) {
		for _, i := range s.Instances {
			row(i.Session, i.Zone, instanceState(i), logState(i), manifestState(i), i.Slots, i.Programs)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(out)
	if err := printPools(out, s); err != nil {
		return err
	}
	return printNeedsPerson(out, s)
}

func printPools(out io.Writer, s server.FleetStatus) error {
	err := table(out, "POOL DISPATCHER WAITING RUNNING", func(row func(...any)) {
		eachPool(s, func(i server.InstanceStatus, p server.PoolStatus) { row(p.Pool, i.Session, p.Waiting, p.Running) })
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(out)
	err = table(out, "ENDPOINT POOL ZONE IN-FLIGHT LIMIT STATE", func(row func(...any)) {
		eachPool(s, func(_ server.InstanceStatus, p server.PoolStatus) {
			for _, e := range p.Endpoints {
				state := "serving"
				switch {
				case e.Leaving:
					state = "leaving"
				case e.BreakerOpen:
					state = "breaker open"
				}
				row(e.Name, p.Pool, e.Zone, e.InFlight, e.Limit, state)
			}
		})
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(out)
	return table(out, "DUTY POOL OWED GIVEN", func(row func(...any)) {
		eachPool(s, func(_ server.InstanceStatus, p server.PoolStatus) {
			for _, d := range p.Duties {
				row(d.Duty, p.Pool, fmt.Sprintf("%.2f", d.Owed), fmt.Sprintf("%.2f", d.Given))
			}
		})
	})
}

func eachPool(s server.FleetStatus, f func(server.InstanceStatus, server.PoolStatus)) {
	for _, i := range s.Instances {
		for _, p := range i.Pools {
			f(i, p)
		}
	}
}

func printNeedsPerson(out io.Writer, s server.FleetStatus) error {
	fmt.Fprintf(out, "\nprograms that need a person: %d\n", s.NeedsCount)
	if len(s.Needs) == 0 {
		return nil
	}
	return table(out, "PROGRAM TENANT REASON CALL KEY OPERATION", func(row func(...any)) {
		for _, n := range s.Needs {
			call, operation := "", ""
			if n.Branch != "" {
				call = fmt.Sprintf("%s/%d", n.Branch, n.Seq)
			}
			if n.Service != "" {
				operation = n.Service + "/" + n.Operation
			}
			row(n.Program, n.Team, n.Reason, call, n.Key, operation)
		}
	})
}

func instanceState(i server.InstanceStatus) string {
	switch {
	case i.Error != "":
		return "no answer: " + i.Error
	case i.Draining:
		return "draining"
	case !i.Ready:
		return "not ready"
	default:
		return "ready"
	}
}

func logState(i server.InstanceStatus) string {
	if i.LogDown {
		return "down"
	}
	return "up"
}

func manifestState(i server.InstanceStatus) string {
	if i.Behind {
		return fmt.Sprintf("%d (behind)", i.ManifestVersion)
	}
	return fmt.Sprint(i.ManifestVersion)
}

// cost is an amount of tokens and charges.
type cost struct {
	Tokens      int64 `json:"tokens"`
	ChargeCents int64 `json:"charge_cents"`
}

// explanation has the printed fields of the answer to an explain request.
type explanation struct {
	Program              string `json:"program"`
	Team                 string `json:"tenant"`
	Duty                 string `json:"duty"`
	State                string `json:"state"`
	Limits               cost   `json:"limits"`
	Spent                cost   `json:"spent"`
	CountedAfterTakeover cost   `json:"counted_after_take_over"`
	Calls                []struct {
		Branch   string `json:"branch"`
		Seq      uint64 `json:"seq"`
		Key      string `json:"key"`
		Executed string `json:"executed"`
		Used     cost   `json:"used"`
		Blocks   bool   `json:"blocks_branch"`
	} `json:"calls"`
	Decisions []struct {
		At   int64 `json:"at_ns"`
		Call struct {
			Branch string
			Seq    uint64
		} `json:"call"`
		Epoch    uint64 `json:"epoch"`
		Endpoint string `json:"endpoint"`
		What     string `json:"what"`
		Reason   string `json:"reason"`
		Used     cost   `json:"used"`
		Waited   int64  `json:"waited_ns"`
	} `json:"decisions"`
}

func printDecisions(out io.Writer, body []byte) error {
	var e explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return errors.Join(errors.New("the answer could not be read"), err)
	}
	fmt.Fprintf(out, "program %s tenant %s duty %s state %s\n", e.Program, e.Team, e.Duty, e.State)
	fmt.Fprintf(out, "spent %d of %d tokens, %d of %d cents; after take-overs %d tokens and %d cents more count as spent\n\n",
		e.Spent.Tokens, e.Limits.Tokens, e.Spent.ChargeCents, e.Limits.ChargeCents, e.CountedAfterTakeover.Tokens, e.CountedAfterTakeover.ChargeCents)
	err := table(out, "CALL KEY EXECUTED TOKENS CENTS NOTE", func(row func(...any)) {
		for _, c := range e.Calls {
			note := ""
			if c.Blocks {
				note = "blocks the branch until it is settled"
			}
			row(fmt.Sprintf("%s/%d", c.Branch, c.Seq), c.Key, c.Executed, c.Used.Tokens, c.Used.ChargeCents, note)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(out)
	return table(out, "AT CALL EPOCH DECISION REASON ENDPOINT WAITED TOKENS CENTS", func(row func(...any)) {
		for _, d := range e.Decisions {
			call := ""
			if d.Call.Branch != "" {
				call = fmt.Sprintf("%s/%d", d.Call.Branch, d.Call.Seq)
			}
			row(time.Duration(d.At).Round(time.Millisecond), call, d.Epoch, d.What, d.Reason, d.Endpoint,
				time.Duration(d.Waited).Round(time.Millisecond), d.Used.Tokens, d.Used.ChargeCents)
		}
	})
}
