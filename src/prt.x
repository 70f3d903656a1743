/* RPC protocol between the processes of the system. */

const PRT_NAME_MAX = 63;
const PRT_ADDRESS_MAX = 47;
const PRT_RECORD_MAX = 49152;
const PRT_CHUNK_MAX = 32768;
const PRT_TAIL_MAX = 256;
const PRT_HOSTS_MAX = 20000;
const PRT_QUIET_MAX = 4096;

struct prt_quiet {
	string host<PRT_NAME_MAX>;
	hyper drain;
};

/* An entry daemon tells of itself; name is empty for other callers. */
struct prt_hello {
	string name<PRT_NAME_MAX>;
	string data_centre<PRT_NAME_MAX>;
	hyper incarnation;
	bool leaving; /* nothing in progress; it stops */
	hyper next; /* offset of the next record that it will apply */
	prt_quiet quiet<PRT_QUIET_MAX>;
};

struct prt_status {
	string name<PRT_NAME_MAX>;
	string data_centre<PRT_NAME_MAX>;
	bool ready;
	hyper next;
	hyper hosts_version;
	hyper platform_age_ms; /* since the last answer of the log; -1: never */
	hyper lease_left_ms;   /* of the entry daemon that asks */
	hyper last_incarnation; /* of that name in the state; -1: none */
};

struct prt_record {
	hyper offset;
	opaque data<PRT_RECORD_MAX>;
};

struct prt_tail_arg {
	hyper from;
	int max;
};

struct prt_tail {
	bool gone; /* `from` is older than the records held */
	hyper next;
	prt_record records<PRT_TAIL_MAX>;
};

/* next is 0 to begin with the newest state, then that of the first answer. */
struct prt_chunk_arg {
	hyper next;
	hyper position;
};

struct prt_chunk {
	bool gone;
	hyper next;
	hyper length;
	opaque data<PRT_CHUNK_MAX>;
};

/* The answer has no hosts if the caller holds the newest list. */
struct prt_hosts_arg {
	hyper list_version;
};

struct prt_host {
	string name<PRT_NAME_MAX>;
	bool leaving;
};

struct prt_hosts {
	hyper list_version;
	prt_host hosts<PRT_HOSTS_MAX>;
};

program PRT_FLEET {
	version PRT_V1 {
		void PRT_NULL(void) = 0;
		prt_status PRT_STATUS(prt_hello) = 1;
		prt_tail PRT_TAIL(prt_tail_arg) = 2;
		prt_chunk PRT_SNAPSHOT(prt_chunk_arg) = 3;
		prt_hosts PRT_HOSTS(prt_hosts_arg) = 4;
	} = 1;
} = 0x20000c01;
