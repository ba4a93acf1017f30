package cmds

import "github.com/cowslipstage/cowslipstage/bench/agent"

// demoProgram is the program of one user in the demo.
type demoProgram struct {
	description string
	service     string
	tasks       []agent.Task
}

// scenario is one customer's example deployment with the programs to run on it.
type scenario struct {
	customer string
	file     string
	programs []demoProgram
}

func scenarios() []scenario { return []scenario{cooperative(), yards()} }

func cooperative() scenario {
	return scenario{customer: "acoepele", file: "acoepele/001-start.ini", programs: []demoProgram{
		{description: "a client asks about a labret", service: "sizing", tasks: []agent.Task{
			{Text: "Which gauge of titanium labret fits a healed helix?", Steps: []agent.Step{{
				Tool: idempotentTool("loja", "stock", `{"item":"labret 1.2x8"}`),
				Agents: []agent.SubAgent{
					{Agent: "thin", Text: "What speaks for a 1.0 mm post?"},
					{Agent: "thick", Text: "What speaks for a 1.2 mm post?"},
				},
				Text: "That is the stock, and both posts were compared. What should the client take?",
			}}},
			{Text: "And does it come in gold?"},
		}},
		{description: "a member restocks gold rings", service: "sizing", tasks: []agent.Task{
			{Text: "We are low on 8 mm gold rings. Order enough for a month.", Steps: []agent.Step{
				{Tool: idempotentTool("loja", "stock", `{"item":"ring 8 gold"}`), Text: "That is the stock. How many do we need?"},
				{Tool: effectTool("loja", "order", `{"item":"ring 8 gold","count":20}`), Text: "The order went through. Summarise it."},
			}},
		}},
		{description: "a client asks about aftercare", service: "aftercare", tasks: []agent.Task{
			{Text: "It is day three and my nostril is a little red. Is that normal?"},
			{Text: "And may I swim next week?"},
		}},
	}}
}

func yards() scenario {
	return scenario{customer: "brennecke", file: "brennecke/001-start.ini", programs: []demoProgram{
		{description: "a foreman books yard space", service: "booking", tasks: []agent.Task{
			{Text: "Two flatbeds from Monday to Thursday near the north shore, please.", Steps: []agent.Step{
				{Tool: idempotentTool("yard", "space", `{"yard":"north","vehicles":2}`), Text: "There is space. Book it."},
				{Tool: effectTool("yard", "book", `{"yard":"north","vehicles":2}`), Text: "Booked. Take the deposit."},
				{Tool: effectTool("yard", "deposit", `{"amount":25000}`), Text: "Booked and paid. What do I tell the drivers?"},
			}},
		}},
		{description: "a dispatcher chases a gate code", service: "gate", tasks: []agent.Task{
			{Text: "Crew is at the lakes-b gate since five and the code fails.", Steps: []agent.Step{
				{Tool: effectTool("yard", "unlock", `{"gate":"lakes-b-2"}`), Text: "It is open. Note the time for the log."},
			}},
		}},
	}}
}

// idempotentTool returns a tool call that may be repeated.
func idempotentTool(service, operation, body string) *agent.Tool {
	return &agent.Tool{Service: service, Operation: operation, Body: body, Idempotent: true}
}

// effectTool returns a tool call that has an effect.
func effectTool(service, operation, body string) *agent.Tool {
	return &agent.Tool{Service: service, Operation: operation, Body: body}
}
