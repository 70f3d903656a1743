#include "node_metrics.h"

#include <apr_strings.h>

#include "log.h"

enum metric {
	M_SUBMITTED,
	M_REFUSED_OVERLOAD,
	M_REFUSED_RATE,
	M_ACCEPTED_BEYOND,
	M_REFUSED_UNAVAILABLE,
	M_REFUSED_OLD_CFG,
	M_REFUSED_KEY,
	M_REFUSED_INVALID,
	M_UNDECIDED,
	M_CANCELLED,
	M_STARTS_SENT,
	M_QUOTA_REPORTS,
	M_QUOTA_GRANTS,
	M_QUOTA_BLOCKED,
	M_STARTS_REFUSED,
	M_STARTS_WITHDRAWN,
	M_RENEWALS,
	M_RENEWALS_FAILED,
	M_RENEWALS_REPEATED,
	M_ANSWERS_LOST,
	M_REPORTS_CUT_SHORT,
	M_RUNS_DONE,
	M_RUNS_FAILED,
	M_RUNS_LOST,
	M_TAKEOVERS,
	M_WORKER_CRASHES,
	M_TASKS_GIVEN_UP,
	M_RETRIES_HELD,
	M_RESTARTS_ORDERED,
	M_MOVES_ORDERED,
	M_HOST_ORDERS_REFUSED,
	M_WAVES_DONE,
	M_LOG_LEFT_OUT,
	M_POOLS_OWNED,
	M_HOSTS_HELD,
	M_JOBS_LIVE,
	M_TASKS_WAITING,
	M_WORKERS_LISTED,
	M_CFG_VERSION,
	M_CFG_AGE_MS,
	M_READY,
	M_STREAM_AGE_MS,
	M_INDEX_AGE_MS,
	M_REGISTRY_AGE_MS,
	M_READ_JOBS_BYTES,
	M_READ_INDEX_BYTES,
	M_READ_REGISTRY_BYTES,
	M_APPEND_STALLED_MS,
	M_BUSY_MS,
	M_COUNT
};

static const struct counters_def metric_defs[M_COUNT] = {
	[M_SUBMITTED] = { "jobs_handed_in", COUNTERS_COUNTER, "jobs stored" },
	[M_REFUSED_OVERLOAD] = { "refused_overload", COUNTERS_COUNTER,
				 "jobs refused because of overload" },
	[M_REFUSED_RATE] = { "refused_rate", COUNTERS_COUNTER,
			     "jobs refused beyond the rate of their "
			     "organisation" },
	[M_ACCEPTED_BEYOND] = { "accepted_beyond_rate", COUNTERS_COUNTER,
				"jobs accepted beyond it, as there was room" },
	[M_REFUSED_UNAVAILABLE] = { "refused_unavailable", COUNTERS_COUNTER,
				    "requests refused: log unavailable" },
	[M_REFUSED_OLD_CFG] = { "refused_old_configuration", COUNTERS_COUNTER,
				"requests refused: configuration not "
				"confirmed recently" },
	[M_REFUSED_KEY] = { "refused_key", COUNTERS_COUNTER,
			    "requests refused: no key or an unknown one" },
	[M_REFUSED_INVALID] = { "refused_invalid", COUNTERS_COUNTER,
				"jobs refused as malformed" },
	[M_UNDECIDED] = { "requests_undecided", COUNTERS_COUNTER,
			  "requests whose record may have been stored" },
	[M_CANCELLED] = { "jobs_cancelled", COUNTERS_COUNTER,
			  "cancellations stored" },
	[M_STARTS_SENT] = { "starts_sent", COUNTERS_COUNTER, "start orders" },
	[M_QUOTA_REPORTS] = { "quota_reports", COUNTERS_COUNTER,
			      "records of what a share uses of limits" },
	[M_QUOTA_GRANTS] = { "quota_grants", COUNTERS_COUNTER,
			     "records of grants of limits to shares" },
	[M_QUOTA_BLOCKED] = { "quota_blocked", COUNTERS_COUNTER,
			      "steps kept waiting by a limit, per pass" },
	[M_STARTS_REFUSED] = { "starts_refused", COUNTERS_COUNTER,
			       "start orders that workers refused" },
	[M_STARTS_WITHDRAWN] = { "starts_withdrawn", COUNTERS_COUNTER,
				 "starts withdrawn before they were sent, or "
				 "stopped" },
	[M_RENEWALS] = { "renewals", COUNTERS_COUNTER, "lease renewals sent" },
	[M_RENEWALS_FAILED] = { "renewals_failed", COUNTERS_COUNTER,
				"failed lease renewals" },
	[M_RENEWALS_REPEATED] = { "renewals_repeated", COUNTERS_COUNTER,
				  "lease renewals sent as an answer is "
				  "missed" },
	[M_ANSWERS_LOST] = { "answers_lost", COUNTERS_COUNTER,
			     "lease renewals without an answer whose repeat "
			     "was "
			     "answered" },
	[M_REPORTS_CUT_SHORT] = { "reports_cut_short", COUNTERS_COUNTER,
				  "reports that may leave out ended runs" },
	[M_RUNS_DONE] = { "runs_done", COUNTERS_COUNTER, "successful runs" },
	[M_RUNS_FAILED] = { "runs_failed", COUNTERS_COUNTER, "failed runs" },
	[M_RUNS_LOST] = { "runs_lost", COUNTERS_COUNTER,
			  "runs stopped, expired or lost with their worker" },
	[M_TAKEOVERS] = { "takeovers", COUNTERS_COUNTER, "pools taken over" },
	[M_WORKER_CRASHES] = { "worker_crashes", COUNTERS_COUNTER,
			       "crashes of workers with tasks on them" },
	[M_TASKS_GIVEN_UP] = { "tasks_given_up", COUNTERS_COUNTER,
			       "tasks given up as they crash workers" },
	[M_RETRIES_HELD] = { "retries_held", COUNTERS_COUNTER,
			     "tasks held as their attempts fail in a row" },
	[M_RESTARTS_ORDERED] = { "host_restarts", COUNTERS_COUNTER,
				 "hosts restarted for a wave" },
	[M_MOVES_ORDERED] = { "host_moves", COUNTERS_COUNTER,
			      "hosts moved between pools" },
	[M_HOST_ORDERS_REFUSED] = { "host_orders_refused", COUNTERS_COUNTER,
				    "failed orders on hosts" },
	[M_WAVES_DONE] = { "waves_done", COUNTERS_COUNTER, "waves completed" },
	[M_LOG_LEFT_OUT] = { "log_left_out", COUNTERS_COUNTER,
			     "log lines dropped by the rate limit" },
	[M_POOLS_OWNED] = { "pools_owned", COUNTERS_GAUGE,
			    "pools owned by this node" },
	[M_HOSTS_HELD] = { "hosts_held", COUNTERS_GAUGE,
			   "1 if this node owns the hosts" },
	[M_JOBS_LIVE] = { "jobs_live", COUNTERS_GAUGE,
			  "jobs that have not ended" },
	[M_TASKS_WAITING] = { "tasks_waiting", COUNTERS_GAUGE,
			      "waiting tasks of the pools owned by this node" },
	[M_WORKERS_LISTED] = { "workers_listed", COUNTERS_GAUGE,
			       "workers in the registry" },
	[M_CFG_VERSION] = { "configuration_version", COUNTERS_GAUGE,
			    "version of the configuration in force; -1: none" },
	[M_CFG_AGE_MS] = { "configuration_age_ms", COUNTERS_GAUGE,
			   "time since the operators' stream was read to its "
			   "end" },
	[M_READY] = { "ready", COUNTERS_GAUGE, "1 if ready for callers" },
	[M_STREAM_AGE_MS] = { "stream_age_ms", COUNTERS_GAUGE,
			      "time since the jobs' stream was read to its "
			      "end" },
	[M_INDEX_AGE_MS] = { "index_age_ms", COUNTERS_GAUGE,
			     "time since the index was read to its end" },
	[M_REGISTRY_AGE_MS] = { "registry_age_ms", COUNTERS_GAUGE,
				"time since the registry was read to its end" },
	[M_READ_JOBS_BYTES] = { "read_jobs_bytes", COUNTERS_COUNTER,
				"bytes read from the jobs' stream" },
	[M_READ_INDEX_BYTES] = { "read_index_bytes", COUNTERS_COUNTER,
				 "bytes read from the index of jobs" },
	[M_READ_REGISTRY_BYTES] = { "read_registry_bytes", COUNTERS_COUNTER,
				    "bytes read from the registry" },
	[M_APPEND_STALLED_MS] = { "append_stalled_ms", COUNTERS_GAUGE,
				  "age of the append in progress" },
	[M_BUSY_MS] = { "busy_ms", COUNTERS_COUNTER,
			"time that the event loop has not waited" },
};

static void add_latency(apr_pool_t *pool, char **text, const char *name,
			const struct histo *histo)
{
	static const struct {
		const char *label;
		double percent;
	} quantiles[] = { { "0.5", 50 }, { "0.9", 90 }, { "0.99", 99 } };

	for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		*text = apr_psprintf(
			pool,
			"%splank_%s_ms{quantile=\"%s\"} %" APR_UINT64_T_FMT
			"\n",
			*text, name, quantiles[i].label,
			histo_percentile(histo, quantiles[i].percent));
	*text = apr_psprintf(pool,
			     "%splank_%s_ms_count %" APR_UINT64_T_FMT "\n",
			     *text, name, histo->count);
}

char *node_metrics_text(apr_pool_t *pool, const struct front_env *front,
			const struct pool_env *pools,
			const struct maint_env *maint, const struct lag *lag,
			const struct node_gauges *gauges)
{
	struct counters *counters = counters_create(pool, metric_defs, M_COUNT);
	const int64_t values[M_COUNT] = {
		[M_SUBMITTED] = front->counts.submitted,
		[M_REFUSED_OVERLOAD] = front->counts.refused_overload,
		[M_REFUSED_RATE] = front->counts.refused_rate,
		[M_ACCEPTED_BEYOND] = front->counts.accepted_beyond,
		[M_REFUSED_UNAVAILABLE] = front->counts.refused_unavailable,
		[M_REFUSED_OLD_CFG] = front->counts.refused_old_cfg,
		[M_REFUSED_KEY] = front->counts.refused_key,
		[M_REFUSED_INVALID] = front->counts.refused_invalid,
		[M_UNDECIDED] = front->counts.undecided,
		[M_CANCELLED] = front->counts.cancelled,
		[M_STARTS_SENT] = pools->counts.starts_sent,
		[M_QUOTA_REPORTS] = pools->counts.quota_reports,
		[M_QUOTA_GRANTS] = maint->counts.quota_grants,
		[M_QUOTA_BLOCKED] = pools->counts.quota_blocked,
		[M_STARTS_REFUSED] = pools->counts.starts_refused,
		[M_STARTS_WITHDRAWN] = pools->counts.starts_withdrawn,
		[M_RENEWALS] = pools->counts.renewals,
		[M_RENEWALS_FAILED] = pools->counts.renewals_failed,
		[M_RENEWALS_REPEATED] = pools->counts.renewals_repeated,
		[M_ANSWERS_LOST] = pools->counts.answers_lost,
		[M_REPORTS_CUT_SHORT] = pools->counts.reports_cut_short,
		[M_RUNS_DONE] = pools->counts.runs_done,
		[M_RUNS_FAILED] = pools->counts.runs_failed,
		[M_RUNS_LOST] = pools->counts.runs_lost,
		[M_TAKEOVERS] = pools->counts.takeovers,
		[M_WORKER_CRASHES] = pools->counts.worker_crashes,
		[M_TASKS_GIVEN_UP] = pools->counts.tasks_given_up,
		[M_RETRIES_HELD] = pools->counts.retries_held,
		[M_RESTARTS_ORDERED] = maint->counts.restarts_ordered,
		[M_MOVES_ORDERED] = maint->counts.moves_ordered,
		[M_HOST_ORDERS_REFUSED] = maint->counts.orders_refused,
		[M_WAVES_DONE] = maint->counts.waves_done,
		[M_LOG_LEFT_OUT] = log_left_out(),
		[M_POOLS_OWNED] = gauges->pools_owned,
		[M_HOSTS_HELD] = gauges->hosts_held,
		[M_JOBS_LIVE] = gauges->jobs_live,
		[M_TASKS_WAITING] = gauges->tasks_waiting,
		[M_WORKERS_LISTED] = gauges->workers_listed,
		[M_CFG_VERSION] = gauges->cfg_version,
		[M_CFG_AGE_MS] = gauges->cfg_age_ms,
		[M_READY] = gauges->ready,
		[M_STREAM_AGE_MS] = gauges->stream_age_ms,
		[M_INDEX_AGE_MS] = gauges->index_age_ms,
		[M_REGISTRY_AGE_MS] = gauges->registry_age_ms,
		[M_READ_JOBS_BYTES] = gauges->read_jobs_bytes,
		[M_READ_INDEX_BYTES] = gauges->read_index_bytes,
		[M_READ_REGISTRY_BYTES] = gauges->read_registry_bytes,
		[M_APPEND_STALLED_MS] = gauges->append_stalled_ms,
		[M_BUSY_MS] = lag->busy_ms,
	};
	char *text;

	for (size_t i = 0; i < M_COUNT; i++)
		counters_set(counters, i, values[i]);
	text = counters_format(counters, pool);
	add_latency(pool, &text, "hand_in", &front->submit_ms);
	add_latency(pool, &text, "job_wait", &pools->wait_ms);
	add_latency(pool, &text, "job_age", &pools->age_ms);
	add_latency(pool, &text, "start_order", &pools->start_ms);
	add_latency(pool, &text, "tick_late", &lag->late_ms);
	return text;
}
