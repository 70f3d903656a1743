/* RPC protocol between the processes of the system. */

const PROTO_NAME_MAX = 63;
const PROTO_ADDRESS_MAX = 47;
const PROTO_RECORD_MAX = 49152;
const PROTO_CHUNK_MAX = 32768;
const PROTO_TAIL_MAX = 256;
const PROTO_HOSTS_MAX = 20000;
const PROTO_QUIET_MAX = 4096;

/* A draining host to which the caller has no requests in flight. */
struct proto_quiet {
	string host<PROTO_NAME_MAX>;
	hyper drain; /* offset of the drain record */
};

/* An entry daemon reports its state; name is empty for other callers. */
struct proto_hello {
	string name<PROTO_NAME_MAX>;
	string data_centre<PROTO_NAME_MAX>;
	hyper incarnation;
	bool leaving; /* no requests in progress, and about to stop */
	hyper next; /* offset of the next record to apply */
	proto_quiet quiet<PROTO_QUIET_MAX>;
};

struct proto_status {
	string name<PROTO_NAME_MAX>;
	string data_centre<PROTO_NAME_MAX>;
	bool ready;
	hyper next;
	hyper hosts_version;
	hyper platform_age_ms; /* since the log last answered; -1: never */
	hyper lease_left_ms;   /* of the calling entry daemon */
	hyper last_incarnation; /* recorded for the caller; -1: none */
};

struct proto_record {
	hyper offset;
	opaque data<PROTO_RECORD_MAX>;
};

struct proto_tail_arg {
	hyper from;
	int max;
};

struct proto_tail {
	bool gone; /* records from `from` on are not available */
	hyper next;
	proto_record records<PROTO_TAIL_MAX>;
};

/*
 * next is 0 in the first request, to get the newest state, and afterwards that
 * of the first answer.
 */
struct proto_chunk_arg {
	hyper next;
	hyper position;
};

struct proto_chunk {
	bool gone;
	hyper next;
	hyper length;
	opaque data<PROTO_CHUNK_MAX>;
};

/* The answer contains no hosts if the caller has the newest list. */
struct proto_hosts_arg {
	hyper list_version;
};

struct proto_host {
	string name<PROTO_NAME_MAX>;
	bool leaving;
};

struct proto_hosts {
	hyper list_version;
	proto_host hosts<PROTO_HOSTS_MAX>;
};

program PROTO_FLEET {
	version PROTO_V1 {
		void PROTO_NULL(void) = 0;
		proto_status PROTO_STATUS(proto_hello) = 1;
		proto_tail PROTO_TAIL(proto_tail_arg) = 2;
		proto_chunk PROTO_SNAPSHOT(proto_chunk_arg) = 3;
		proto_hosts PROTO_HOSTS(proto_hosts_arg) = 4;
	} = 1;
} = 0x20000c01;
