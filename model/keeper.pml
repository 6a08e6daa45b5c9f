/*
 * Model of the rules by which keepers vote, commit and replace a voter's disk.
 *
 * Disks 0, 1 and 2 are the first voters. Disk 3 replaces disk 2 after disk 2 is
 * lost. A message may be received at any time after it is sent, or never. A log
 * entry consists of its term and a group, as a mask of disks, which is in force
 * once the entry is in the log. Checked properties: a term has at most one
 * leader; a leader has all entries that were committed in earlier terms; a
 * committed entry never changes.
 *
 * -DMUTATION=n removes one rule, to show that the check then fails:
 * 1 the new disk keeps the identity of the lost one
 * 2 a change of the group may start before the previous one is committed
 * 3 a disk votes twice in a term
 * 4 a disk votes for a candidate that lacks entries
 * 5 entries of an older term are committed by counting replicas
 */
#ifndef MUTATION
#define MUTATION 0
#endif
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 4
#endif
#define DISKS 4
#define FIRST_GROUP 7
#define LOST_DISK 2
#define NEW_DISK 3

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef disk_t {
	byte term;
	byte vote;	/* disk + 1, or 0 for none */
	byte role;
	byte votes;	/* mask of the disks that voted for this one */
	byte length;
	byte commit;
	byte terms[ENTRIES];
	byte groups[ENTRIES];
	byte match[DISKS]
}

disk_t disk[DISKS];
byte alive = FIRST_GROUP;
bool replaced;
byte leaders[TERMS + 1];	/* disk + 1, by term */
byte committed;
byte committed_terms[ENTRIES];
byte committed_groups[ENTRIES];
byte committed_in[ENTRIES];	/* term of the leader that committed it */
byte i;		/* loop index, 0 between actions */

#define BIT(d) (1 << (d))
#define ALIVE(d) ((alive >> (d)) & 1)
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + \
	(((m) >> 3) & 1))
#define MAJORITY(m, g) (2 * COUNT((m) & (g)) > COUNT(g))
#define GROUP(d) (disk[d].length == 0 -> FIRST_GROUP : \
	disk[d].groups[disk[d].length - 1])
#define COMMITTED_GROUP(d) (disk[d].commit == 0 -> FIRST_GROUP : \
	disk[d].groups[disk[d].commit - 1])
#define LAST_TERM(d) (disk[d].length == 0 -> 0 : \
	disk[d].terms[disk[d].length - 1])
#define UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || \
	(LAST_TERM(c) == LAST_TERM(v) && disk[c].length >= disk[v].length))
#define HOLDERS(l, k) ((disk[l].match[0] > (k)) | \
	((disk[l].match[1] > (k)) << 1) | ((disk[l].match[2] > (k)) << 2) | \
	((disk[l].match[3] > (k)) << 3))
#define SAME_ENTRY(a, b, k) (disk[a].terms[k] == disk[b].terms[k] && \
	disk[a].groups[k] == disk[b].groups[k])

inline reset_match(d)
{
	disk[d].match[0] = 0;
	disk[d].match[1] = 0;
	disk[d].match[2] = 0;
	disk[d].match[3] = 0
}

inline append(d, mask)
{
	disk[d].groups[disk[d].length] = mask;
	disk[d].terms[disk[d].length] = disk[d].term;
	disk[d].length++;
	disk[d].match[d] = disk[d].length
}

inline truncate(d, to)
{
	do
	:: disk[d].length > to ->
		disk[d].length--;
		disk[d].terms[disk[d].length] = 0;
		disk[d].groups[disk[d].length] = 0
	:: else -> break
	od
}

#define START_ELECTION(c) \
	:: ALIVE(c) && disk[c].role != LEADER && disk[c].term < TERMS && \
		(GROUP(c) & BIT(c)) -> d_step { \
		disk[c].term++; \
		disk[c].vote = c + 1; \
		disk[c].role = CANDIDATE; \
		disk[c].votes = BIT(c) }

#define VOTE_FREE(v, c) (disk[v].term < disk[c].term || \
	(disk[v].term == disk[c].term && \
	(disk[v].vote == 0 || MUTATION == 3)))

#define GRANT_VOTE(v, c) \
	:: ALIVE(v) && ALIVE(c) && disk[c].role == CANDIDATE && \
		(GROUP(c) & BIT(v)) && !(disk[c].votes & BIT(v)) && \
		VOTE_FREE(v, c) && (UP_TO_DATE(c, v) || MUTATION == 4) -> \
		d_step { \
		if \
		:: disk[v].term < disk[c].term -> \
			disk[v].role = FOLLOWER; disk[v].votes = 0 \
		:: else \
		fi; \
		disk[v].term = disk[c].term; \
		disk[v].vote = c + 1; \
		disk[c].votes = disk[c].votes | BIT(v) }

/* A new leader appends an entry of its own term. */
#define BECOME_LEADER(c) \
	:: disk[c].role == CANDIDATE && MAJORITY(disk[c].votes, GROUP(c)) && \
		disk[c].length < ENTRIES -> d_step { \
		assert(leaders[disk[c].term] == 0 || \
			leaders[disk[c].term] == c + 1); \
		leaders[disk[c].term] = c + 1; \
		do \
		:: i < committed && committed_in[i] < disk[c].term -> \
			assert(i < disk[c].length && \
				disk[c].terms[i] == committed_terms[i] && \
				disk[c].groups[i] == committed_groups[i]); \
			i++ \
		:: else -> break \
		od; \
		i = 0; \
		disk[c].role = LEADER; \
		disk[c].votes = 0; \
		reset_match(c); \
		append(c, GROUP(c)) }

/* Send one entry to a follower, or confirm that it has all of them. */
#define REPLICATE(l, f) \
	:: ALIVE(l) && ALIVE(f) && disk[l].role == LEADER && \
		disk[f].term <= disk[l].term && \
		disk[l].match[f] < disk[l].length -> d_step { \
		if \
		:: disk[f].term < disk[l].term -> \
			disk[f].vote = 0; disk[f].term = disk[l].term \
		:: else \
		fi; \
		disk[f].role = FOLLOWER; \
		disk[f].votes = 0; \
		do \
		:: i < disk[l].length && i < disk[f].length && \
			SAME_ENTRY(l, f, i) -> i++ \
		:: else -> break \
		od; \
		if \
		:: i < disk[l].length -> \
			truncate(f, i); \
			disk[f].terms[i] = disk[l].terms[i]; \
			disk[f].groups[i] = disk[l].groups[i]; \
			i++; \
			disk[f].length = i \
		:: else \
		fi; \
		disk[l].match[f] = i; \
		i = 0 }

#define COMMIT(l, k) \
	:: disk[l].role == LEADER && k < disk[l].length && \
		k >= disk[l].commit && \
		(disk[l].terms[k] == disk[l].term || MUTATION == 5) && \
		MAJORITY(HOLDERS(l, k), GROUP(l)) -> d_step { \
		disk[l].commit = k + 1; \
		do \
		:: i <= k -> \
			if \
			:: i < committed -> \
				assert(disk[l].terms[i] == \
					committed_terms[i] && \
					disk[l].groups[i] == \
					committed_groups[i]) \
			:: else -> \
				committed_terms[i] = disk[l].terms[i]; \
				committed_groups[i] = disk[l].groups[i]; \
				committed_in[i] = disk[l].term; \
				committed = i + 1 \
			fi; \
			i++ \
		:: else -> break \
		od; \
		i = 0 }

#define MAY_CHANGE(l) (disk[l].role == LEADER && \
	disk[l].length < ENTRIES && (MUTATION == 2 || \
	(GROUP(l) == COMMITTED_GROUP(l) && disk[l].commit > 0 && \
	disk[l].terms[disk[l].commit - 1] == disk[l].term)))

#define REMOVE_LOST_DISK(l) \
	:: MAY_CHANGE(l) && replaced && (GROUP(l) & BIT(LOST_DISK)) && \
		disk[l].match[NEW_DISK] >= disk[l].commit && \
		MUTATION != 1 -> d_step { \
		append(l, GROUP(l) & ~BIT(LOST_DISK)) }

#define ADD_NEW_DISK(l) \
	:: MAY_CHANGE(l) && replaced && !(GROUP(l) & BIT(LOST_DISK)) && \
		!(GROUP(l) & BIT(NEW_DISK)) && \
		disk[l].match[NEW_DISK] >= disk[l].commit -> d_step { \
		append(l, GROUP(l) | BIT(NEW_DISK)) }

#define CRASH(d) \
	:: disk[d].role != FOLLOWER -> d_step { \
		disk[d].role = FOLLOWER; \
		disk[d].votes = 0; \
		disk[d].commit = 0; \
		reset_match(d) }

/* The disk loses all its data. A new one with its own identity replaces it. */
#define REPLACE_DISK \
	:: !replaced -> d_step { \
		replaced = true; \
		truncate(LOST_DISK, 0); \
		reset_match(LOST_DISK); \
		disk[LOST_DISK].term = 0; \
		disk[LOST_DISK].vote = 0; \
		disk[LOST_DISK].role = FOLLOWER; \
		disk[LOST_DISK].votes = 0; \
		disk[LOST_DISK].commit = 0; \
		if \
		:: MUTATION != 1 -> \
			alive = (alive & ~BIT(LOST_DISK)) | BIT(NEW_DISK) \
		:: else \
		fi }

#define EACH_DISK(A) A(0) A(1) A(2) A(3)
#define DISK_PAIRS(A) A(0, 1) A(0, 2) A(0, 3) A(1, 0) A(1, 2) A(1, 3) \
	A(2, 0) A(2, 1) A(2, 3) A(3, 0) A(3, 1) A(3, 2)
#define DISKS_AND_INDEXES(A) A(0, 0) A(0, 1) A(0, 2) A(0, 3) \
	A(1, 0) A(1, 1) A(1, 2) A(1, 3) A(2, 0) A(2, 1) A(2, 2) A(2, 3) \
	A(3, 0) A(3, 1) A(3, 2) A(3, 3)

active proctype cluster()
{
end:
	do
	EACH_DISK(START_ELECTION)
	DISK_PAIRS(GRANT_VOTE)
	EACH_DISK(BECOME_LEADER)
	DISK_PAIRS(REPLICATE)
	DISKS_AND_INDEXES(COMMIT)
	EACH_DISK(REMOVE_LOST_DISK)
	EACH_DISK(ADD_NEW_DISK)
	EACH_DISK(CRASH)
	REPLACE_DISK
	od
}
