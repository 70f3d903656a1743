#include "entry_counters.h"

const struct counters_def entry_counters[ENTRY_COUNTER_COUNT] = {
	[ENTRY_REQUESTS] = { "requests_total", COUNTERS_COUNTER,
			     "Requests of callers." },
	[ENTRY_PROXY + PROXY_ANSWERED] = { "requests_answered_total",
					   COUNTERS_COUNTER,
					   "Requests answered by a worker." },
	[ENTRY_PROXY + PROXY_NOT_RUN] = { "requests_not_run_total",
					  COUNTERS_COUNTER,
					  "Requests refused as not run." },
	[ENTRY_PROXY +
		PROXY_UNKNOWN] = { "requests_unknown_total", COUNTERS_COUNTER,
				   "Requests whose outcome is unknown." },
	[ENTRY_PROXY + PROXY_RETRIES] = { "retries_total", COUNTERS_COUNTER,
					  "Attempts after the first." },
	[ENTRY_PROXY + PROXY_REFUSED_BY_WORKER] = { "worker_refused_total",
						    COUNTERS_COUNTER,
						    "Attempts that a worker "
						    "refused." },
	[ENTRY_PROXY + PROXY_FAILED_AT_WORKER] = { "worker_failed_total",
						   COUNTERS_COUNTER,
						   "Attempts that failed." },
	[ENTRY_PROXY + PROXY_TRUNCATED] = { "answers_truncated_total",
					    COUNTERS_COUNTER,
					    "Truncated answers." },
	[ENTRY_PROXY + PROXY_QUEUED +
		ADMIT_URGENT] = { "queued_urgent", COUNTERS_GAUGE,
				  "Urgent requests queued." },
	[ENTRY_PROXY + PROXY_QUEUED +
		ADMIT_NORMAL] = { "queued_normal", COUNTERS_GAUGE,
				  "Normal requests queued." },
	[ENTRY_PROXY + PROXY_QUEUED + ADMIT_LONG] = { "queued_long",
						      COUNTERS_GAUGE,
						      "Long requests queued." },
	[ENTRY_PROXY + PROXY_STARTED +
		ADMIT_URGENT] = { "started_urgent_total", COUNTERS_COUNTER,
				  "Urgent requests sent to "
				  "a worker." },
	[ENTRY_PROXY + PROXY_STARTED +
		ADMIT_NORMAL] = { "started_normal_total", COUNTERS_COUNTER,
				  "Normal requests sent to "
				  "a worker." },
	[ENTRY_PROXY + PROXY_STARTED +
		ADMIT_LONG] = { "started_long_total", COUNTERS_COUNTER,
				"Long requests sent to a "
				"worker." },
	[ENTRY_PROXY + PROXY_SHED +
		ADMIT_URGENT] = { "shed_urgent_total", COUNTERS_COUNTER,
				  "Urgent requests refused for "
				  "their expected wait or size." },
	[ENTRY_PROXY + PROXY_SHED +
		ADMIT_NORMAL] = { "shed_normal_total", COUNTERS_COUNTER,
				  "Normal requests refused for "
				  "their expected wait or size." },
	[ENTRY_PROXY + PROXY_SHED +
		ADMIT_LONG] = { "shed_long_total", COUNTERS_COUNTER,
				"Long requests refused for "
				"their expected wait or size." },
	[ENTRY_PROXY + PROXY_EXPIRED +
		ADMIT_URGENT] = { "expired_urgent_total", COUNTERS_COUNTER,
				  "Urgent requests whose "
				  "deadline passed." },
	[ENTRY_PROXY + PROXY_EXPIRED +
		ADMIT_NORMAL] = { "expired_normal_total", COUNTERS_COUNTER,
				  "Normal requests whose "
				  "deadline passed." },
	[ENTRY_PROXY + PROXY_EXPIRED + ADMIT_LONG] = { "expired_long_total",
						       COUNTERS_COUNTER,
						       "Long requests whose "
						       "deadline passed." },
	[ENTRY_PROXY +
		PROXY_IN_FLIGHT] = { "in_flight", COUNTERS_GAUGE,
				     "Requests in progress at workers." },
	[ENTRY_PROXY +
		PROXY_URGENT_WAIT_SUM_MS] = { "urgent_wait_ms_total",
					      COUNTERS_COUNTER,
					      "Time that urgent requests "
					      "were queued." },
	[ENTRY_PROXY +
		PROXY_URGENT_WAIT_MAX_MS] = { "urgent_wait_max_ms",
					      COUNTERS_GAUGE,
					      "Longest time that an urgent "
					      "request was queued." },
	[ENTRY_PROXY + PROXY_CANCELLED_QUEUED] = { "cancelled_queued_total",
						   COUNTERS_COUNTER,
						   "Requests whose caller left "
						   "before they were sent." },
	[ENTRY_PROXY +
		PROXY_CANCELLED_IN_FLIGHT] = { "cancelled_in_flight_total",
					       COUNTERS_COUNTER,
					       "Requests aborted because "
					       "the caller left." },
	[ENTRY_CLAIMS + CLAIM_LOG_CLAIMS] = { "claims_total", COUNTERS_COUNTER,
					      "Claims of keys." },
	[ENTRY_CLAIMS + CLAIM_LOG_LOST] = { "claims_lost_total",
					    COUNTERS_COUNTER,
					    "Claims of keys that another claim "
					    "holds." },
	[ENTRY_CLAIMS + CLAIM_LOG_RELEASES] = { "claims_released_total",
						COUNTERS_COUNTER,
						"Claims that were released." },
	[ENTRY_CLAIMS +
		CLAIM_LOG_TOO_OLD] = { "claims_too_old_total", COUNTERS_COUNTER,
				       "Claims refused because the key's "
				       "time precedes the window." },
	[ENTRY_CLAIMS +
		CLAIM_LOG_APPENDS] = { "claims_appends_total", COUNTERS_COUNTER,
				       "Appends to the claims stream." },
	[ENTRY_CLAIMS + CLAIM_LOG_INVALID] = { "claims_invalid_total",
					       COUNTERS_COUNTER,
					       "Invalid records of the claims "
					       "stream." },
	[ENTRY_CLAIMS + CLAIM_LOG_KEYS] = { "claims_window_keys",
					    COUNTERS_GAUGE,
					    "Claimed keys held in memory." },
	[ENTRY_CLAIMS +
		CLAIM_LOG_READ_AGE_MS] = { "claims_read_age_ms", COUNTERS_GAUGE,
					   "Time since the claims stream was "
					   "read; -1: never." },
	[ENTRY_MALFORMED] = { "requests_malformed_total", COUNTERS_COUNTER,
			      "Requests that were malformed, too "
			      "large or incomplete." },
	[ENTRY_ACTIVE] = { "requests_active", COUNTERS_GAUGE,
			   "Requests in progress." },
	[ENTRY_READY] = { "ready", COUNTERS_GAUGE,
			  "1 if requests are accepted." },
	[ENTRY_NEXT_OFFSET] = { "next_offset", COUNTERS_GAUGE,
				"Offset of the next record to apply." },
	[ENTRY_LEASE_LEFT_MS] = { "lease_left_ms", COUNTERS_GAUGE,
				  "Time left of the lease for sending "
				  "to other "
				  "data centres." },
	[ENTRY_STATE_AGE_MS] = { "state_age_ms", COUNTERS_GAUGE,
				 "Time since a fleet daemon last "
				 "answered; "
				 "-1: never." },
	[ENTRY_PLATFORM_AGE_MS] = { "platform_age_ms", COUNTERS_GAUGE,
				    "Time since the platform log "
				    "answered the "
				    "fleet daemon; -1: never." },
	[ENTRY_EJECTIONS] = { "worker_ejections_total", COUNTERS_COUNTER,
			      "Ejections of failing workers." },
	[ENTRY_PROBES] = { "worker_probes_total", COUNTERS_COUNTER,
			   "Requests sent to an ejected worker as a "
			   "probe." },
	[ENTRY_FAILURES_UNDONE] = { "worker_failures_taken_back_total",
				    COUNTERS_COUNTER,
				    "Worker failures undone because "
				    "the request "
				    "caused them." },
	[ENTRY_NO_FIT] = { "requests_no_fit_total", COUNTERS_COUNTER,
			   "Requests larger than every worker of their "
			   "pool." },
};
