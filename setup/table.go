package setup

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/queue"
	"github.com/cowslipstage/cowslipstage/coordination/route"
	"github.com/cowslipstage/cowslipstage/protocol/schema"
)

// The limits of settings.
const (
	minDuration = time.Millisecond
	maxDuration = 24 * time.Hour
	maxPath     = 4096
	maxText     = 256
	maxBody     = 64 << 20
	maxFrame    = 128 << 20
	maxShard    = 4096
)

// duration is the type of most durations in settings.
var duration = schema.Duration{Min: minDuration, Max: maxDuration}

// Table returns every section and key of settings files with the values of Default
// as their defaults.
func Table() schema.Table {
	t := schema.Table{Sections: []schema.Section{
		nodeSection(), storeSection(), hostsSection(), linksSection(), policySection(), shardsSection(),
	}}
	fillDefaults(t)
	return t
}

func nodeSection() schema.Section {
	return schema.Section{Kind: "node", Doc: "Who the node is.", Keys: []schema.Key{
		{Name: "name", Type: schema.Name{}, Required: true, Doc: "The node's name; no other node has it."},
		{Name: "centre", Type: schema.Name{}, Doc: "The data centre."},
		{Name: "listen", Type: schema.Address{}, Doc: "Where callers and operators connect."},
		{Name: "link", Type: schema.Address{}, Doc: "Where other nodes connect."},
		{Name: "advertise", Type: schema.Address{}, Doc: "Where other nodes are told to connect, if not at link."},
		{Name: "data", Type: schema.Text{Max: maxPath}, Doc: "Folder for bulk data; without it the node keeps nothing."},
		{Name: "body", Type: schema.Int{Min: 1 << 10, Max: maxBody}, Doc: "Bound of a request's body, in bytes."},
		{Name: "memory", Type: schema.Int{Min: 64 << 20, Max: 1 << 40}, Doc: "Memory that the process may take, in bytes. A quarter of it is for what is held for callers; a body takes up to five times its size."},
		{Name: "connections", Type: schema.Int{Max: 1 << 20}, Doc: "Connections that callers may have at once; 0 means nearly half of the descriptors."},
		{Name: "notice", Type: duration, Doc: "How long a stopping node still takes callers, while the balancer learns that it is not ready."},
		{Name: "grace", Type: duration, Doc: "How long a planned stop waits for what is in flight."},
	}}
}

func storeSection() schema.Section {
	return schema.Section{Kind: "store", Doc: "The platform's key-value service.", Keys: []schema.Key{
		{Name: "addr", Type: schema.Address{}, Required: true, Doc: "Where the service listens."},
		{Name: "timeout", Type: duration, Doc: "Bound of one call to the service."},
		{Name: "lease", Type: duration, Doc: "How long a node that doesn't renew keeps its claims."},
		{Name: "delay", Type: duration, Doc: "How long the service may take to record a batch before standbys are asked."},
		{Name: "writes", Type: schema.Int{Max: 100_000}, Doc: "Journal batches a second that all nodes together may write to the service; 0 means no bound."},
		{Name: "bound", Type: schema.Int{Min: 1 << 20, Max: 1 << 30}, Doc: "Bytes of one shard that may wait for the service."},
		{Name: "abandon", Type: duration, Doc: "How long a new owner waits for a standby without a sign of life."},
	}}
}

func hostsSection() schema.Section {
	return schema.Section{Kind: "hosts", Doc: "The platform's host list.", Keys: []schema.Key{
		{Name: "addr", Type: schema.Address{}, Doc: "Where the list is served; without it no list is read."},
		{Name: "poll", Type: duration, Doc: "Time between two reads of the list."},
	}}
}

func linksSection() schema.Section {
	return schema.Section{Kind: "links", Doc: "The links between nodes.", Keys: []schema.Key{
		{Name: "secret", Type: schema.Secret{Max: maxText}, Doc: "Key that nodes show each other."},
		{Name: "secrets", Type: schema.Text{Max: maxPath}, Doc: "File of keys, one a line, in place of secret: the first is shown, all are accepted. Read again when it changes."},
		{Name: "cert", Type: schema.Text{Max: maxPath}, Doc: "PEM file of the node's certificate, which bears its name. Read again when it changes."},
		{Name: "key", Type: schema.Text{Max: maxPath}, Doc: "PEM file of the certificate's private key."},
		{Name: "ca", Type: schema.Text{Max: maxPath}, Doc: "PEM file of the authorities that sign the nodes' certificates; cert, key and ca together turn mutual TLS on."},
		{Name: "ping", Type: duration, Doc: "Time between two heartbeats on a link."},
		{Name: "silence", Type: duration, Doc: "A link that is silent for so long is replaced."},
		{Name: "frame", Type: schema.Int{Min: 1 << 16, Max: maxFrame}, Doc: "Bound of one message between nodes, in bytes; it must hold a request's body."},
		{Name: "budget", Type: schema.Int{Min: 1 << 10, Max: maxBody}, Doc: "Bound of the rounds of gossip that the node sends, in bytes a second; news that cannot wait goes out at once. In fleets with more nodes than [shards] owners it is at most 2048."},
		{Name: "peers", Type: schema.List{Of: schema.Peer{}}, Doc: "Nodes to connect to before the store has answered."},
	}}
}

func policySection() schema.Section {
	return schema.Section{Kind: "policy", Doc: "How calls are scheduled.", Keys: []schema.Key{
		{Name: "queue", Type: schema.Choice{Words: []string{string(queue.Program), string(queue.Attained), string(queue.Fifo)}}, Doc: "Order of the calls that wait."},
		{Name: "route", Type: schema.Choice{Words: []string{
			string(route.EarliestFinish), string(route.RoundRobin), string(route.LeastCalls), string(route.Sticky),
		}}, Doc: "Choice of the endpoint."},
		{Name: "seed", Type: schema.Int{Max: math.MaxInt64}, Doc: "Seed of the random choices."},
		{Name: "hedge", Type: schema.Bool{}, Doc: "Whether model calls that are late to begin are also sent to a second engine."},
		{Name: "copy", Type: schema.Bool{}, Doc: "Whether a conversation's cache is copied between engines where that beats computing it."},
		{Name: "release", Type: schema.Bool{}, Doc: "Whether engines are told what no live program will use; off only for comparisons."},
		{Name: "weight", Type: schema.Float{Max: 1}, Doc: "Weight of wasted cache against latency."},
		{Name: "load", Type: duration, Doc: "Time between two reads of an endpoint's load."},
		{Name: "list", Type: duration, Doc: "Time between two reads of an engine's list of the programs it holds memory for."},
		{Name: "quiet", Type: duration, Doc: "How long an engine's stream may give nothing; before its first part twice as long."},
	}}
}

func shardsSection() schema.Section {
	return schema.Section{Kind: "shards", Doc: "How programs are divided between nodes; equal on all nodes.", Keys: []schema.Key{
		{Name: "count", Type: schema.Int{Min: 1, Max: maxShard}, Doc: "Number of shards."},
		{Name: "owners", Type: schema.Int{Max: maxShard}, Doc: "Bound of the nodes that own shards, and so of the store's load; 0 means no bound."},
		{Name: "answers", Type: duration, Doc: "How long an ended program's answers can be fetched by key."},
		{Name: "keys", Type: duration, Doc: "How long the keys of an ended program's non-idempotent calls are remembered."},
		{Name: "standby", Type: schema.Int{Min: 1 << 20, Max: 1 << 30}, Doc: "Bytes that the node keeps for the owners of other shards."},
	}}
}

// fillDefaults sets each key's default from Default.
func fillDefaults(t schema.Table) {
	values := Fields()
	for _, s := range t.Sections {
		for i := range s.Keys {
			s.Keys[i].Default = values[s.Kind+" "+s.Keys[i].Name]
		}
	}
}

// Page returns the operators' page of all settings in Markdown.
func Page() string {
	return "# Settings\n\nA node reads its settings once, at its start, from the file that `serve --config`\n" +
		"names. `cowslipstage check FILE` checks such a file; `cowslipstage check --settings`\n" +
		"prints this page, which is made from the same table. Lines that begin with `;` are\n" +
		"comments; a value goes to the end of its line.\n" + schema.Page(Table())
}

// Fields maps every field of Settings, as "section key", to its default.
func Fields() map[string]string {
	defaults := map[string]string{}
	all := reflect.ValueOf(Default())
	for i := range all.NumField() {
		section, kind := all.Field(i), all.Type().Field(i).Tag.Get("ini")
		for j := range section.NumField() {
			defaults[kind+" "+section.Type().Field(j).Tag.Get("ini")] = formatValue(section.Field(j))
		}
	}
	return defaults
}

func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.Slice {
		items := make([]string, v.Len())
		for i := range items {
			items[i] = fmt.Sprint(v.Index(i))
		}
		return strings.Join(items, ", ")
	}
	return fmt.Sprint(v.Interface())
}
