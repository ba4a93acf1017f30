package ticket

import (
	"math"
	"time"

	"github.com/cowslipstage/cowslipstage/protocol/schema"
)

// The limits of numbers and texts in tickets.
const (
	maxNumber = 999_999_999
	maxTokens = 100_000_000
	maxMoney  = 1_000_000_000_000
	maxRate   = 1_000_000
	maxCalls  = 1_000_000
	maxSpan   = 24 * time.Hour
	maxPrompt = 8 << 10
	maxReason = 160
	maxAuthor = 64
)

var remove = schema.Key{
	Name: "remove", Type: schema.Bool{}, Default: "false",
	Doc: "Removes the object; its other keys may be left out.",
}

var limits = []schema.Key{
	{Name: "rate", Type: schema.Float{Max: maxRate}, Default: "0", Doc: "Calls a second over all nodes; 0 means no bound."},
	{Name: "burst", Type: schema.Int{Max: maxCalls}, Default: "0", Doc: "Calls that may come at once; 0 means one second's worth."},
	{Name: "active", Type: schema.Int{Max: maxCalls}, Default: "0", Doc: "Calls under way over all nodes; 0 means no bound."},
}

// Table returns the sections and keys that tickets may have.
func Table() schema.Table {
	return schema.Table{Sections: []schema.Section{
		{Kind: "ticket", Doc: "Says which change this is; every ticket has it.", Keys: []schema.Key{
			{Name: "number", Type: schema.Int{Min: 1, Max: maxNumber}, Required: true, Doc: "The ticket's number; a higher number wins."},
			{Name: "author", Type: schema.Text{Max: maxAuthor}, Doc: "Who made the change."},
			{Name: "reason", Type: schema.Text{Max: maxReason}, Doc: "Why the change was made."},
		}},
		operatorSection(), customerSection(), modelSection(), endpointSection(), serviceSection(), operationSection(),
	}}
}

func operatorSection() schema.Section {
	return schema.Section{
		Kind: "operator", Named: true, Name: schema.Name{},
		Doc: "Someone who may read reports and traces. Without any operator, only the node's own host may.",
		Keys: []schema.Key{
			remove,
			{Name: "token", Type: schema.Digest{}, Required: true, Doc: "SHA-256 of the operator's bearer token."},
		},
	}
}

func customerSection() schema.Section {
	return schema.Section{
		Kind: "customer", Named: true, Name: schema.Name{}, Doc: "Who pays for calls.",
		Keys: append([]schema.Key{
			remove,
			{Name: "token", Type: schema.Digest{}, Doc: "SHA-256 of the customer's bearer token; without it no token is asked for."},
		}, limits...),
	}
}

func modelSection() schema.Section {
	return schema.Section{
		Kind: "model", Named: true, Name: schema.Name{}, Doc: "A model that engines can load.",
		Keys: []schema.Key{
			remove,
			{Name: "context", Type: schema.Int{Min: 1, Max: maxTokens}, Required: true, Doc: "Longest prompt plus output, in tokens."},
			{Name: "versions", Type: schema.List{Of: schema.Name{}}, Required: true, Doc: "Versions in the weight store."},
			{Name: "adapters", Type: schema.List{Of: schema.Name{}}, Doc: "Adapters in the weight store."},
			{Name: "size", Type: schema.Int{Max: math.MaxInt64}, Default: "0", Doc: "Size of the weights in bytes; 0 means not known."},
		},
	}
}

func endpointSection() schema.Section {
	return schema.Section{
		Kind: "endpoint", Named: true, Name: schema.Name{}, Doc: "One runner behind the system.",
		Keys: []schema.Key{
			remove,
			{Name: "kind", Type: schema.Choice{Words: []string{"engine", "desk"}}, Required: true, Doc: "A model engine or a plain desk."},
			{Name: "pool", Type: schema.Name{}, Required: true, Doc: "The pool that the endpoint belongs to."},
			{Name: "addr", Type: schema.Address{}, Required: true, Doc: "Where the endpoint listens."},
			{Name: "centre", Type: schema.Name{}, Doc: "The data centre."},
			{Name: "fencing", Type: schema.Bool{}, Default: "false", Doc: "Whether the endpoint refuses old fencing numbers."},
			{Name: "tells", Type: schema.Bool{}, Default: "false", Doc: "Whether the endpoint can be asked what became of a call, by its key."},
			{Name: "role", Type: schema.Name{}, Doc: "What an engine is to do, such as prefill; empty leaves it alone."},
			{Name: "slots", Type: schema.Int{Max: maxCalls}, Default: "0", Doc: "Calls that may run there at once; 0 means no bound."},
			{Name: "memory", Type: schema.Int{Max: maxTokens}, Default: "0", Doc: "The engine's cache in tokens; 0 means not known."},
		},
	}
}

func serviceSection() schema.Section {
	span := schema.Duration{Max: maxSpan}
	return schema.Section{
		Kind: "service", Named: true, Name: schema.Name{}, Doc: "Something that callers can call.",
		Keys: append([]schema.Key{
			remove,
			{Name: "kind", Type: schema.Choice{Words: []string{"model", "plain"}}, Required: true, Doc: "An agent service on engines, or a plain service on desks."},
			{Name: "pool", Type: schema.Name{}, Required: true, Doc: "The endpoints that run the service."},
			{Name: "model", Type: schema.Name{}, Doc: "The model that the engine must have loaded."},
			{Name: "adapter", Type: schema.Name{}, Doc: "The adapter on the model."},
			{Name: "version", Type: schema.Name{}, Doc: "The model's version."},
			{Name: "tools", Type: schema.List{Of: schema.Pair{}}, Doc: "Operations that programs of the service may call."},
			{Name: "tokens", Type: schema.Int{Max: maxTokens}, Default: "0", Doc: "Token budget of one program; 0 means no bound."},
			{Name: "money", Type: schema.Int{Max: maxMoney}, Default: "0", Doc: "Money budget of one program in the smallest unit; 0 means no bound."},
			{Name: "turns", Type: schema.Int{Max: maxCalls}, Default: "0", Doc: "Calls of one program; 0 means no bound."},
			{Name: "class", Type: schema.Int{Max: 9}, Default: "1", Doc: "Urgency; 0 is the most urgent."},
			{Name: "output", Type: schema.Int{Max: maxTokens}, Default: "0", Doc: "Tokens generated by one call; 0 means the system's default."},
			{Name: "timeout", Type: span, Default: "0s", Doc: "Bound of one call from receipt to answer; 0s means the system's default."},
			{Name: "idle", Type: span, Default: "0s", Doc: "Ends a program that was silent for so long; 0s means the system's default."},
			{Name: "prompt", Type: schema.Text{Max: maxPrompt}, Doc: "The system prompt shared by all programs of the service."},
			{Name: "objective", Type: span, Default: "0s", Doc: "Latency within which calls must be done; 0s means no objective."},
			{Name: "target", Type: schema.Float{Max: 0.99999}, Default: "0", Doc: "Share of calls that must meet the objective."},
		}, limits...),
	}
}

func operationSection() schema.Section {
	return schema.Section{
		Kind: "operation", Named: true, Name: schema.Pair{}, Doc: "One operation of a plain service.",
		Keys: []schema.Key{
			remove,
			{Name: "idempotent", Type: schema.Bool{}, Default: "false", Doc: "Whether the operation may be repeated."},
			{Name: "timeout", Type: schema.Duration{Max: maxSpan}, Default: "10s", Doc: "Bound of one call; 0s means the service's."},
			{Name: "money", Type: schema.Int{Max: maxMoney}, Default: "0", Doc: "The most that one run may cost, in the smallest unit."},
		},
	}
}

// Page returns the page of all ticket sections for operators, in Markdown.
func Page() string {
	return "# What tickets may say\n\nMade from the table that checks tickets; `cowslipstage check --tickets` prints it.\n" +
		schema.Page(Table())
}
