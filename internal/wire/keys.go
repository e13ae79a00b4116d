package wire

// requiredKeys are the keys that each object of the settings has, by the object's path; [] stands for
// any entry of a list. Keys that are not listed are optional or unknown.
var requiredKeys = map[string][]string{
	"": {
		"azs", "classes", "clients", "discovery", "domain", "fleet_size", "index", "kind_of_service", "kinds", "layers", "limits",
		"over_share_worth", "penalties", "report", "rules", "score_parts", "tenants", "tick_ms", "tier", "weights", "worth_by", "zone",
	},
	"classes[]": {"aim_ms", "effect", "hard_limit_ms", "late_worth", "name", "stream", "worth"},
	"clients":   {"marks_retry"},
	"limits": {
		"cancelling", "conn_idle_ms", "connect_timeout_ms", "cpu_us_per_request", "cpu_us_per_s", "max_retry_after_ms", "may_probe",
		"most_held", "peer_messages", "retry_after", "second_copies", "send_cap", "streams_per_conn",
	},
	"penalties":   {"connection", "cross_zone", "discovery", "handshake", "late_fail", "moves", "origin", "peer", "probe", "waste"},
	"report":      {"fields", "how"},
	"rules":       {"answer_slack_ms", "ask_within_ms", "cold_ms", "drain_grace_ms", "fall_ms", "fall_multiple", "start_capacity"},
	"score_parts": {"whole", "worst_class", "worst_tenant", "worst_window"},
	"tenants[]":   {"name", "quota_per_s", "share"},
}

// keyedEffect is the effect of classes whose repeats are dropped by their key. Only they need
// key_scope and dedup_window_ms, and without these it is unknown where a repeat may go.
const keyedEffect = "idempotency_key"

// RequiredKeys returns the keys that each object of a kind in the settings has, whatever else is in it;
// "" is the settings object itself.
func RequiredKeys(kind string) []string { return requiredKeys[kind] }
