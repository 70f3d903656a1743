/* RPC protocol between the processes of the system. */

const PROTO_NAME_MAX = 63;
const PROTO_ADDRESS_MAX = 47;
const PROTO_RECORD_MAX = 49152;
const PROTO_CHUNK_MAX = 32768;
const PROTO_TAIL_MAX = 256;
const PROTO_HOSTS_MAX = 20000;
const PROTO_QUIET_MAX = 4096;

struct proto_quiet {
	string host<PROTO_NAME_MAX>;
	hyper drain;
};

/* An entry daemon tells of itself; name is empty for other callers. */
struct proto_hello {
	string name<PROTO_NAME_MAX>;
	string data_centre<PROTO_NAME_MAX>;
	hyper incarnation;
	bool leaving; /* nothing in progress; it stops */
	hyper next; /* offset of the next record that it will apply */
	proto_quiet quiet<PROTO_QUIET_MAX>;
};

struct proto_status {
	string name<PROTO_NAME_MAX>;
	string data_centre<PROTO_NAME_MAX>;
	bool ready;
	hyper next;
	hyper hosts_version;
	hyper platform_age_ms; /* since the last answer of the log; -1: never */
	hyper lease_left_ms;   /* of the entry daemon that asks */
	hyper last_incarnation; /* of that name in the state; -1: none */
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
	bool gone; /* `from` is older than the records held */
	hyper next;
	proto_record records<PROTO_TAIL_MAX>;
};

/* next is 0 to begin with the newest state, then that of the first answer. */
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

/* The answer has no hosts if the caller holds the newest list. */
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
