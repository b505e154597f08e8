/*
 * Messages between the processes of primrosetide and from ptctl to a node.
 * pt.h and pt_xdr.c are generated from this file by "make -C rpc" and
 * committed, so that a build needs no generator.
 *
 * Every argument starts with "proto".  A receiver refuses a higher major
 * version (proto / 100) with PT_VERSION_REFUSED and ignores a higher minor one.
 */

const PT_PROTO = 100;
const PT_PROTO_MAJOR = 100;	/* major version: proto / PT_PROTO_MAJOR */
/*
 * Version of the records of stream "config".  All nodes must evaluate them to
 * the same result, so it changes with the major version only.
 */
const PT_RECORD = 100;
const PT_ID_LEN = 16;
const PT_DIGEST_LEN = 32;
const PT_NAME_MAX = 64;
const PT_TEXT_MAX = 1024;
const PT_BODY_MAX = 4096;
const PT_OPS_MAX = 256;
const PT_RECORD_MAX = 262144;
const PT_CHUNK_MAX = 65536;
const PT_CALL_BODY_MAX = 1048576;
const PT_HEADERS_MAX = 100;
const PT_HEADER_MAX = 8192;
const PT_RANKS_MAX = 16;
const PT_GOSSIP_MAX = 64;
const PT_SUSPECTS_MAX = 24;
const PT_ENDS_MAX = 3;
const PT_DEPARTURES_MAX = 8;
const PT_SERVER_ID_MAX = 128;
const PT_MEMBERS_MAX = 512;
const PT_BUCKETS = 64;
const PT_LAG_MAX = 8;
const PT_RESOURCES_MAX = 8192;
const PT_OUTCOMES_MAX = 8192;
const PT_ENTRIES_MAX = 1024;
const PT_LIST_MAX = 8192;
const PT_TABLE_MAX = 1048576;
const PT_ORG_MAX = 256;
const PT_ASKS_MAX = 64;
const PT_SHARDS_MAX = 64;

typedef string pt_name<PT_NAME_MAX>;
typedef string pt_text<PT_TEXT_MAX>;
typedef opaque pt_id[PT_ID_LEN];
typedef opaque pt_digest[PT_DIGEST_LEN];

/* ---- configuration records (stream "config") ---- */

enum pt_kind {
	PT_KIND_MESH = 0,
	PT_KIND_RANK = 1,
	PT_KIND_SERVICE = 2,
	PT_KIND_ROUTE = 3,
	PT_KIND_ORGANISATION = 4
};

/* "body" is the canonical field list: "key=value\n", sorted by key. */
struct pt_op {
	pt_kind kind;
	pt_name name;
	hyper base;		/* version of the resource, 0: must not exist */
	bool remove;
	string body<PT_BODY_MAX>;
};

struct pt_change {
	int proto;
	pt_id id;
	pt_name author;
	pt_op ops<PT_OPS_MAX>;
};

/* ---- snapshots (stream "snapshots", and SNAP between nodes) ---- */

struct pt_res {
	pt_kind kind;
	pt_name name;
	hyper vers;
	string body<PT_BODY_MAX>;
};

enum pt_verdict_kind {
	PT_ACCEPTED = 0,
	PT_CONFLICT = 1,
	PT_INVALID = 2,
	PT_DUPLICATE = 3,
	PT_MALFORMED = 4,
	PT_UNKNOWN = 5,		/* outcome not known, see text */
	PT_UNREACHABLE = 6	/* nothing was appended */
};

struct pt_outcome {
	pt_id id;
	hyper offset;
	pt_verdict_kind kind;
	pt_text text;
};

struct pt_snapshot {
	int proto;
	hyper position;		/* offset of the last evaluated record */
	hyper vers;		/* offset of the last accepted record */
	pt_res resources<PT_RESOURCES_MAX>;
	pt_outcome outcomes<PT_OUTCOMES_MAX>;
};

struct pt_snap_chunk {
	int proto;
	hyper position;		/* position of the snapshot */
	unsigned index;
	unsigned count;		/* number of chunks of the snapshot */
	pt_digest digest;	/* SHA-256 of the whole snapshot */
	opaque data<PT_CHUNK_MAX>;
};

/* Record of stream "seeds". */
struct pt_seed {
	int proto;
	pt_name instance;
	pt_name host;
	int rpc_port;
	int gossip_port;
};

/* Body of an HTTP response of the log stand-in: records of a stream. */
struct pt_log_entry {
	hyper offset;
	opaque data<PT_RECORD_MAX>;
};

struct pt_log_batch {
	hyper oldest;		/* oldest offset still kept */
	hyper next;		/* offset of the next append */
	pt_log_entry entries<PT_ENTRIES_MAX>;
};

/* ---- membership ---- */

enum pt_state {
	PT_BOOTING = 0,
	PT_WARMING = 1,
	PT_SERVING = 2,
	PT_DRAINING = 3,
	PT_LEFT = 4
};

enum pt_health {
	PT_ALIVE = 0,
	PT_SUSPECT = 1,
	PT_DEAD = 2
};

struct pt_member {
	pt_name instance;
	hyper incarnation;	/* initially "started"; raised to refute a suspicion */
	hyper started;		/* identifies the run of the process; never raised */
	unsigned seq;		/* orders an instance's own updates */
	pt_health health;
	pt_state state;
	pt_name host;
	int rpc_port;
	int gossip_port;
	int http_port;
	pt_name domain;		/* failure domain */
	pt_name region;
	pt_name service;	/* empty: none announced */
	int slots;		/* requests that its backend server runs at once */
};

enum pt_gossip_kind {
	PT_PING = 0,
	PT_ACK = 1,
	PT_PING_REQ = 2,	/* requests a probe of "target" for "from" */
	PT_SPREAD = 3,
	/* Not a pt_gossip, but: */
	PT_SUSPECTS = 4,	/* a pt_suspects */
	PT_DEPARTURES = 5,	/* a pt_departures */
	PT_BEACON = 6		/* a pt_beacon */
};

struct pt_gossip {
	int proto;
	pt_gossip_kind kind;
	unsigned nonce;		/* matches an ACK to its PING */
	pt_name from;
	/*
	 * Instance probed (PING, PING_REQ) or that replied (ACK); SPREAD: empty,
	 * "take-over" if the sender asks the receiver to read in its place, or
	 * "took-over" if the sender does so for the receiver.
	 */
	pt_name target;
	hyper position;		/* configuration position of the sender */
	pt_member updates<PT_GOSSIP_MAX>;
};

/* A request beside which backend servers have ended. */
struct pt_suspect {
	pt_id digest;		/* of the request */
	unsigned generation;	/* rises when the ends are forgotten */
	hyper ends<PT_ENDS_MAX>;	/* identify the ends */
};

/* Starts like a pt_gossip; "kind" is PT_SUSPECTS. */
struct pt_suspects {
	int proto;
	pt_gossip_kind kind;
	pt_name from;
	pt_suspect list<PT_SUSPECTS_MAX>;
};

/* A backend server that has left. */
struct pt_departure {
	pt_name instance;	/* of the node beside it */
	string id<PT_SERVER_ID_MAX>;
	hyper process_start;	/* newest process that left, in Unix ms */
};

/* Starts like a pt_gossip; "kind" is PT_DEPARTURES. */
struct pt_departures {
	int proto;
	pt_gossip_kind kind;
	pt_name from;
	pt_departure list<PT_DEPARTURES_MAX>;
};

/*
 * How recent the configuration of a node is known to be.  Starts like a
 * pt_gossip; "kind" is PT_BEACON.
 */
struct pt_beacon {
	int proto;
	pt_gossip_kind kind;
	pt_name from;
	bool ask;		/* a more recent one is asked for */
	hyper origin;		/* process that read the store, 0: none known */
	unsigned serial;	/* of the origin's beacons */
	unsigned hops;		/* nodes that have relayed it */
	hyper vers;		/* newest version at the store */
	unsigned age_ms;	/* time since it was the newest */
	unsigned delay_ms;	/* time that the store took to respond */
};

struct pt_members_args {
	int proto;
	pt_name from;
	hyper buckets<PT_BUCKETS>;	/* digest of each bucket; empty: send all members */
	int start;		/* first bucket: "next" of the previous response */
};

struct pt_members_res {
	int proto;
	pt_member members<PT_MEMBERS_MAX>;
	int next;		/* next bucket to request, -1: complete */
};

/* ---- distribution ---- */

struct pt_subtree {
	unsigned nodes;
	hyper lowest;		/* lowest version in force in the subtree */
	hyper newest;		/* newest version in force in the subtree */
	unsigned holding;	/* nodes at "newest" */
	hyper names;		/* sum of the name hashes of the nodes at "newest" */
	pt_name lag<PT_LAG_MAX>;	/* some nodes below "newest" */
};

enum pt_sync_status {
	PT_SYNC_OK = 0,
	PT_SYNC_SNAPSHOT = 1,	/* position too old: fetch a snapshot */
	PT_SYNC_FULL = 2,	/* child limit reached */
	PT_SYNC_BUSY = 3,	/* booting or too many catch-ups, retry later */
	PT_VERSION_REFUSED = 4
};

struct pt_sync_args {
	int proto;
	pt_name from;
	hyper position;
	unsigned wait_ms;	/* long poll: time to wait for a record, 0: none */
	bool once;		/* catch-up only: the sender does not become a child */
	pt_subtree acked;
};

struct pt_sync_res {
	int proto;
	pt_sync_status status;
	unsigned retry_ms;	/* with PT_SYNC_BUSY */
	hyper position;		/* newest position known to the responder */
	pt_digest digest;	/* of the snapshot, with PT_SYNC_SNAPSHOT */
	pt_log_entry entries<PT_ENTRIES_MAX>;
};

struct pt_snap_args {
	int proto;
	pt_name from;
	hyper position;		/* of the snapshot; 0: the current snapshot */
	unsigned index;		/* of the chunk */
};

/* ---- calls between nodes ---- */

struct pt_header {
	string name<PT_HEADER_MAX>;
	string value<PT_HEADER_MAX>;
};

/* Idempotency key; "started" is that of struct pt_member. */
struct pt_key {
	pt_name owner;		/* instance that issued the key */
	hyper incarnation;	/* holds "started" of the owner, not its "incarnation" */
	hyper seq;		/* number of the key among those of the owner */
	unsigned attempt;	/* number of the attempt with this key */
	hyper floor;		/* keys of the owner with a lower seq are refused */
	hyper target;		/* "started" of the upstream's node that may run it */
};

struct pt_call {
	int proto;
	unsigned id;		/* chosen by the sender, unique on the connection */
	pt_name from;
	pt_name service;
	pt_name rank;
	int rank_order;
	int deadline_ms;	/* remaining */
	pt_key *key;		/* set for a non-idempotent request */
	string method<16>;
	string path<PT_HEADER_MAX>;
	pt_header headers<PT_HEADERS_MAX>;
	opaque body<PT_CALL_BODY_MAX>;
};

enum pt_call_status {
	PT_CALL_RAN = 0,
	PT_CALL_NOT_RUN = 1,
	PT_CALL_OUTCOME_UNKNOWN = 2
};

/* Load of the upstream, reported with every answer. */
struct pt_load {
	int slots;
	int running;
	int queued;
	pt_state state;
	int wait_ms<PT_RANKS_MAX>;	/* estimated wait by rank order */
};

struct pt_answer {
	int proto;
	unsigned id;
	pt_call_status status;
	pt_text reason;
	int http_status;
	pt_header headers<PT_HEADERS_MAX>;
	pt_load load;
	bool more;		/* body is incomplete: continue with PULL */
	opaque body<PT_CHUNK_MAX>;
};

struct pt_pull_args {
	int proto;
	unsigned id;
};

struct pt_pull_res {
	int proto;
	bool failed;		/* the rest of the body is not available */
	bool more;
	opaque body<PT_CHUNK_MAX>;
};

/* Relay of a keyed request to the owner of its key. */
struct pt_keyed_args {
	string key<256>;
	pt_call call;
};

/* ---- control (ptctl) ---- */

struct pt_submit_args {
	int proto;
	unsigned wait_ms;
	opaque record<PT_RECORD_MAX>;	/* encoded pt_change */
	pt_id id;
};

struct pt_get_args {
	int proto;
	int kind;		/* -1: every kind */
	pt_name name;		/* empty: every name */
};

struct pt_get_res {
	int proto;
	pt_state state;		/* PT_BOOTING: the rest may be out of date */
	hyper position;
	hyper vers;
	pt_digest digest;
	pt_res resources<PT_RESOURCES_MAX>;
};

struct pt_status_res {
	int proto;
	pt_name instance;
	pt_state state;
	hyper position;
	hyper vers;
	pt_digest digest;
	unsigned members;	/* members that should hold the configuration */
	unsigned in_force;	/* nodes that acknowledged "vers" or newer */
	hyper lowest;		/* lowest version in force at a node */
	bool complete;		/* false: the first reader of the mesh did not respond */
	pt_name lag<PT_LAG_MAX>;
	pt_member list<PT_LIST_MAX>;
};

struct pt_drain_args {
	int proto;
	pt_name upstream;
	bool undo;
};

struct pt_outcome_args {
	int proto;
	pt_id id;
};

/* ---- configurations that the platform stores as one document ---- */

struct pt_table_args {
	int proto;
	hyper have;		/* version held; only a newer one is returned */
};

struct pt_table_res {
	int proto;
	hyper vers;		/* 0: nothing newer */
	opaque doc<PT_TABLE_MAX>;	/* as stored by the platform, zlib format */
};

/* ---- limits of organisations over all nodes ---- */

struct pt_limit_ask {
	string org<PT_ORG_MAX>;
	unsigned want;
	unsigned returned;	/* unused tokens given back */
};

struct pt_limit_args {
	int proto;
	pt_name from;
	unsigned shard;
	/*
	 * Not 0: the sender has been assigned shards in this generation of the
	 * owners, and asks the receiver to give them up; "shard" is a set of
	 * them, a bit for each.
	 */
	hyper release;
	pt_limit_ask asks<PT_ASKS_MAX>;
};

struct pt_limit_grant {
	int status;		/* enum limit_status */
	unsigned n;
	hyper retry;		/* in us */
};

struct pt_limit_res {
	int proto;
	bool released;
	pt_limit_grant grants<PT_ASKS_MAX>;	/* one for each ask */
	/* Owners by shard, empty: not known; if the receiver owns it not. */
	pt_name owners<PT_SHARDS_MAX>;
	hyper generation;	/* of these */
};

program PT_PROG {
	version PT_V1 {
		void PT_NULL(void) = 0;
		pt_sync_res PT_SYNC(pt_sync_args) = 1;
		pt_snap_chunk PT_SNAP(pt_snap_args) = 2;
		pt_members_res PT_MEMBERS(pt_members_args) = 3;
		pt_answer PT_FORWARD(pt_call) = 4;
		pt_pull_res PT_PULL(pt_pull_args) = 5;
		void PT_CANCEL(pt_pull_args) = 6;	/* no reply is sent */
		pt_answer PT_KEYED(pt_keyed_args) = 7;
		pt_outcome PT_SUBMIT(pt_submit_args) = 8;
		pt_get_res PT_GET(pt_get_args) = 9;
		pt_status_res PT_STATUS(pt_get_args) = 10;
		pt_outcome PT_DRAIN(pt_drain_args) = 11;
		pt_outcome PT_OUTCOME(pt_outcome_args) = 12;
		void PT_ACKED(pt_sync_args) = 13;	/* reader to the first reader of the mesh */
		pt_table_res PT_TABLE(pt_table_args) = 14;
		void PT_RECALL(pt_pull_args) = 15;	/* refuse the call if it waits; no reply is sent */
		pt_limit_res PT_LIMIT(pt_limit_args) = 16;	/* buy tokens from the owner of a shard */
	} = 1;
} = 0x20005054;
