#include <string.h>
#include "keeper-store.h"
#include "keeper_disk.h"

/* The snapshot file: one record with the group and the configuration. */

static int keeper_snapshot_set_damaged(const char *path, hl_error_t *err)
{
	return hl_error_set(err, HL_ERR_CORRUPT,
			    "%s is damaged or of a foreign cluster; move the "
			    "data folder away and start again with an empty "
			    "one: the keeper then joins again and copies the "
			    "log of the others",
			    path);
}

int keeper_snapshot_parse(const char *path, const char *bytes, size_t size,
			  uint64_t cluster, keeper_snapshot_t *snapshot,
			  hl_error_t *err)
{
	keeper_snapshot_record_t record = { 0 };
	size_t offset = 0, length;
	const char *body;
	int rc = -1;

	memset(snapshot, 0, sizeof(*snapshot));
	if (keeper_record_next(bytes, size, &offset, &body, &length) !=
		    KEEPER_RECORD_COMPLETE ||
	    offset != size ||
	    !keeper_xdr_decode((xdrproc_t)xdr_keeper_snapshot_record_t, body,
			       length, &record))
		return keeper_snapshot_set_damaged(path, err);
	if (record.format != KEEPER_DISK_FORMAT || record.cluster != cluster ||
	    !keeper_group_from_wire(&record.group, &snapshot->group)) {
		keeper_snapshot_set_damaged(path, err);
		goto out;
	}
	snapshot->index = record.index;
	snapshot->term = record.term;
	snapshot->state = record.state.state_val;
	snapshot->size = record.state.state_len;
	record.state.state_val = NULL;
	record.state.state_len = 0;
	rc = 0;
out:
	xdr_free((xdrproc_t)xdr_keeper_snapshot_record_t, &record);
	return rc;
}

int keeper_snapshot_put(keeper_buffer_t *buffer, uint64_t cluster,
			const keeper_snapshot_t *snapshot)
{
	keeper_node_wire_t nodes[KEEPER_VOTERS_MAX];
	keeper_snapshot_record_t record = {
		.format = KEEPER_DISK_FORMAT,
		.cluster = cluster,
		.index = snapshot->index,
		.term = snapshot->term,
		.state = { snapshot->size, snapshot->state },
	};

	keeper_group_to_wire(&snapshot->group, nodes, &record.group);
	return keeper_record_put(buffer,
				 (xdrproc_t)xdr_keeper_snapshot_record_t,
				 &record);
}
