package work

import (
	"strconv"
	"strings"

	"github.com/cowslipstage/cowslipstage/standin/model"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// maxTurns bounds a program's calls. No program of an experiment makes as many.
const maxTurns = 10000

// setTicket sets the sections for the model, services and endpoints of the experiment.
func (e *Experiment) setTicket(set func(section string, pairs ...string)) {
	var names []string
	for _, k := range e.Kinds {
		names = append(names, k.Name)
	}
	set("model m", "context", "200000", "versions", "1", "adapters", strings.Join(names, ", "))
	for _, k := range e.Kinds {
		set("service "+k.Name, "kind", "model", "pool", "engines", "model", "m", "adapter", k.Name, "version", "1",
			"tools", deskService+"/"+operationLook+", "+deskService+"/"+operationOrder,
			"tokens", strconv.FormatInt(k.Tokens, 10), "turns", strconv.Itoa(maxTurns),
			"class", strconv.Itoa(k.Class), "output", strconv.Itoa(k.Output),
			"timeout", "30s", "prompt", k.prompt())
		if k.Idle > 0 {
			set("service "+k.Name, "idle", e.clockTime(k.Idle).String())
		}
	}
	set("service "+deskService, "kind", "plain", "pool", "desks", "class", "0", "timeout", "20s")
	set("operation "+deskService+"/"+operationLook, "idempotent", "true", "timeout", "10s")
	set("operation "+deskService+"/"+operationOrder, "idempotent", "false", "timeout", "10s")
	for i := range e.Engines {
		set("endpoint engine-"+strconv.Itoa(i+1), "kind", "engine", "pool", "engines", "addr", "127.0.0.1:1",
			"slots", strconv.Itoa(e.Engine.Slots), "memory", strconv.Itoa(e.Engine.CacheTokens))
	}
	for i := range e.Desks {
		set("endpoint desk-"+strconv.Itoa(i+1), "kind", "desk", "pool", "desks", "addr", "127.0.0.1:1", "slots", "64",
			"fencing", strconv.FormatBool(e.Desk.Fencing))
	}
}

// answerLength returns the number of tokens of the answer to a text.
func answerLength(text string) int {
	return model.AnswerLength([]call.Message{{Role: "user", Content: text}}, 0)
}
