#include <gio/gio.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"

#define CODEC(t) (xdrproc_t) xdr_##t, sizeof(t)
#define CODEC_VOID rpcio_void, 0

bool_t
rpcio_void(XDR *x, ...)
{
	return TRUE;
}

static const struct rpcio_proc procs[] = {
	{ PT_NULL, "null", CODEC_VOID, CODEC_VOID, FALSE },
	{ PT_SYNC, "sync", CODEC(pt_sync_args), CODEC(pt_sync_res), FALSE },
	{ PT_SNAP, "snap", CODEC(pt_snap_args), CODEC(pt_snap_chunk), FALSE },
	{ PT_MEMBERS, "members", CODEC(pt_members_args), CODEC(pt_members_res),
	    FALSE },
	{ PT_FORWARD, "forward", CODEC(pt_call), CODEC(pt_answer), FALSE },
	{ PT_PULL, "pull", CODEC(pt_pull_args), CODEC(pt_pull_res), FALSE },
	{ PT_CANCEL, "cancel", CODEC(pt_pull_args), CODEC_VOID, TRUE },
	{ PT_KEYED, "keyed", CODEC(pt_keyed_args), CODEC(pt_answer), FALSE },
	{ PT_SUBMIT, "submit", CODEC(pt_submit_args), CODEC(pt_outcome),
	    FALSE },
	{ PT_GET, "get", CODEC(pt_get_args), CODEC(pt_get_res), FALSE },
	{ PT_STATUS, "status", CODEC(pt_get_args), CODEC(pt_status_res),
	    FALSE },
	{ PT_DRAIN, "drain", CODEC(pt_drain_args), CODEC(pt_outcome), FALSE },
	{ PT_OUTCOME, "outcome", CODEC(pt_outcome_args), CODEC(pt_outcome),
	    FALSE },
	{ PT_ACKED, "acked", CODEC(pt_sync_args), CODEC_VOID, FALSE },
	{ PT_TABLE, "table", CODEC(pt_table_args), CODEC(pt_table_res), FALSE },
	{ PT_RECALL, "recall", CODEC(pt_pull_args), CODEC_VOID, TRUE },
	{ PT_LIMIT, "limit", CODEC(pt_limit_args), CODEC(pt_limit_res), FALSE },
};

G_STATIC_ASSERT(G_N_ELEMENTS(procs) <= RPCIO_PROCS);

const struct rpcio_proc *
rpcio_proc(guint proc)
{
	return proc < G_N_ELEMENTS(procs) ? &procs[proc] : NULL;
}
