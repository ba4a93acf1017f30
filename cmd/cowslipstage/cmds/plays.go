package cmds

import "github.com/cowslipstage/cowslipstage/bench/agent"

// scene is one person's program in the demo.
type scene struct {
	person  string
	service string
	tasks   []agent.Task
}

// play is one user's deployment with its scenes.
type play struct {
	customer string
	file     string
	scenes   []scene
}

func plays() []play { return []play{cooperative(), yards()} }

func cooperative() play {
	return play{customer: "acoepele", file: "acoepele/001-start.ini", scenes: []scene{
		{person: "a client asks about a labret", service: "sizing", tasks: []agent.Task{
			{Text: "Which gauge of titanium labret fits a healed helix?", Steps: []agent.Step{{
				Tool: look("loja", "stock", `{"item":"labret 1.2x8"}`),
				Agents: []agent.SubAgent{
					{Agent: "thin", Text: "What speaks for a 1.0 mm post?"},
					{Agent: "thick", Text: "What speaks for a 1.2 mm post?"},
				},
				Text: "That is the stock, and both posts were compared. What should the client take?",
			}}},
			{Text: "And does it come in gold?"},
		}},
		{person: "a member restocks gold rings", service: "sizing", tasks: []agent.Task{
			{Text: "We are low on 8 mm gold rings. Order enough for a month.", Steps: []agent.Step{
				{Tool: look("loja", "stock", `{"item":"ring 8 gold"}`), Text: "That is the stock. How many do we need?"},
				{Tool: act("loja", "order", `{"item":"ring 8 gold","count":20}`), Text: "The order went through. Summarise it."},
			}},
		}},
		{person: "a client asks about aftercare", service: "aftercare", tasks: []agent.Task{
			{Text: "It is day three and my nostril is a little red. Is that normal?"},
			{Text: "And may I swim next week?"},
		}},
	}}
}

func yards() play {
	return play{customer: "brennecke", file: "brennecke/001-start.ini", scenes: []scene{
		{person: "a foreman books yard space", service: "booking", tasks: []agent.Task{
			{Text: "Two flatbeds from Monday to Thursday near the north shore, please.", Steps: []agent.Step{
				{Tool: look("yard", "space", `{"yard":"north","vehicles":2}`), Text: "There is space. Book it."},
				{Tool: act("yard", "book", `{"yard":"north","vehicles":2}`), Text: "Booked. Take the deposit."},
				{Tool: act("yard", "deposit", `{"amount":25000}`), Text: "Booked and paid. What do I tell the drivers?"},
			}},
		}},
		{person: "a dispatcher chases a gate code", service: "gate", tasks: []agent.Task{
			{Text: "Crew is at the lakes-b gate since five and the code fails.", Steps: []agent.Step{
				{Tool: act("yard", "unlock", `{"gate":"lakes-b-2"}`), Text: "It is open. Note the time for the log."},
			}},
		}},
	}}
}

// look is a tool call that may be repeated.
func look(service, operation, body string) *agent.Tool {
	return &agent.Tool{Service: service, Operation: operation, Body: body, Idempotent: true}
}

// act is a tool call with an effect.
func act(service, operation, body string) *agent.Tool {
	return &agent.Tool{Service: service, Operation: operation, Body: body}
}
